# ingress_steps.py -- Steps about callers' connections
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about callers' connections."""

import re

import gevent
from behave import given, then, when
from gevent import socket
from gevent.event import Event
from gevent.pywsgi import WSGIServer
from mountladder_platform.ingress import Ingress

from mountladder.clocks.systemclock import SystemClock
from mountladder.code import Code
from mountladder.errors import RefusalError, RunError
from mountladder.forwarding.callerlimits import CallerLimits
from mountladder.forwarding.forwardanswer import ForwardAnswer
from mountladder_entry.callerconnection import CallerConnection
from mountladder_entry.weberrorlog import WebErrorLog

LIMITS = CallerLimits(2_000, 1_000, 200.0, 400.0)
HEAD = b"POST /a/b HTTP/1.1\r\nHost: x.y\r\n"
ID = b"Mountladder-Request-Id: r1\r\n"


class FakeForwarder:
    def __init__(self, behaviour):
        self.behaviour = behaviour
        self.requests = []
        self.cancelled = Event()

    def serve(self, request):
        self.requests.append(request)
        if self.behaviour == "a refusal":
            raise RefusalError("", Code.OVERLOADED, retry_after_ms=1_250.0)
        if self.behaviour == "a fault":
            raise ZeroDivisionError("on purpose")
        if self.behaviour == "nothing yet":
            try:
                gevent.sleep(5.0)
            finally:
                self.cancelled.set()
        if self.behaviour == "a cut stream":
            return ForwardAnswer(200, (("Mountladder-Server-Stamp", "s"),), self.cut_stream())
        headers = (("Mountladder-Request-Id", request.id), ("Mountladder-Server-Stamp", "s"))
        return ForwardAnswer(200, headers, b"answer to " + request.id.encode())

    def cut_stream(self):
        yield b"id: 1\n\n"
        raise RunError("", Code.STREAM_CUT)


@given('an ingress whose forwarder answers "{behaviour}"')
def ingress(context, behaviour):
    context.forwarder = FakeForwarder(behaviour)
    context.leaving = False
    handler = type(
        "Handler",
        (CallerConnection,),
        {
            "limits": staticmethod(lambda: LIMITS),
            "is_leaving": staticmethod(lambda: context.leaving),
        },
    )
    application = Ingress(context.forwarder, lambda: LIMITS, SystemClock())
    server = WSGIServer(
        ("127.0.0.1", 0), application, log=None, error_log=WebErrorLog(), handler_class=handler
    )
    server.start()
    context.stack.callback(server.stop, 0.1)
    context.address = ("127.0.0.1", server.server_port)


@given("the instance is leaving")
def set_leaving(context):
    context.leaving = True


SENT = {
    "a request": HEAD + ID + b"Content-Length: 2\r\n\r\nhi",
    "a chunked request": HEAD + ID + b"Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
    "a length and chunks": HEAD
    + ID
    + b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
    "two lengths": HEAD + ID + b"Content-Length: 2\r\nContent-Length: 3\r\n\r\nhi",
    "a negative length": HEAD + ID + b"Content-Length: -2\r\n\r\nhi",
    "another coding": HEAD + ID + b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
    "no id": HEAD + b"Content-Length: 2\r\n\r\nhi",
    "a malformed deadline": HEAD
    + ID
    + b"Mountladder-Deadline-Ms: soon\r\nContent-Length: 2\r\n\r\nhi",
    "a head that is too long": HEAD + ID + b"X: " + b"x" * 3_000 + b"\r\n\r\n",
    "a head that is too slow": HEAD + ID,
    "a body that is too long": HEAD + ID + b"Content-Length: 1001\r\n\r\n" + b"x" * 1_001,
    "half a head": HEAD + ID,
    "half a body": HEAD + ID + b"Content-Length: 9\r\n\r\nhi",
}


@when('a caller sends "{what}"')
def send(context, what):
    context.what = what
    with socket.create_connection(context.address) as connection:
        connection.sendall(SENT[what])
        if what.startswith("half"):
            connection.shutdown(socket.SHUT_WR)
        context.received = read_all(connection)


@when("a caller sends a request that resumes {id_} after event {number}")
def send_resuming(context, id_, number):
    headers = f"Last-Event-Id: {number}\r\nResumes: {id_}\r\n".encode()
    with socket.create_connection(context.address) as connection:
        connection.sendall(HEAD + ID + headers + b"Connection: close\r\nContent-Length: 0\r\n\r\n")
        read_all(connection)


@then("the forwarder is to resume {id_} after event {number}")
def is_to_resume(context, id_, number):
    (request,) = context.forwarder.requests
    assert (request.resumes, request.last_event_id) == (id_, number), request


@when("a caller sends two requests at once on a connection")
def send_two(context):
    with socket.create_connection(context.address) as connection:
        request = SENT["a request"]
        connection.sendall(request + request.replace(b": r1", b": r2"))
        context.received = read_all(connection)


@when("a caller sends a request and disconnects")
def disconnect(context):
    with socket.create_connection(context.address) as connection:
        connection.sendall(SENT["a request"])
        gevent.sleep(0.1)
    assert context.forwarder.requests and not context.forwarder.cancelled.is_set()


def read_all(connection):
    connection.settimeout(2.0)
    received = b""
    while data := connection.recv(65_536):
        received += data
    return received


def status_of(received):
    return int(re.match(rb"HTTP/1\.1 (\d+) ", received).group(1))


@then("it gets status {status:d}")
def gets_status(context, status):
    assert status_of(context.received) == status, context.received
    served = [(one.method, one.target, one.body) for one in context.forwarder.requests]
    assert served == ([("POST", "/a/b", b"hi")] if status in {200, 500} else []), served


@then("it gets nothing")
def gets_nothing(context):
    assert context.forwarder.requests == []
    assert not context.received or status_of(context.received) == 400, context.received


@then("it gets the answers to the first and the second")
def answers_in_order(context):
    assert context.received.index(b"answer to r1") < context.received.index(b"answer to r2")
    assert [one.id for one in context.forwarder.requests] == ["r1", "r2"]


@then("the answer is cut after its first event")
def is_cut(context):
    assert b"id: 1\n\n" in context.received
    assert not context.received.endswith(b"0\r\n\r\n"), context.received


@then("the work on it is cancelled within {ms:d} ms")
def work_cancelled(context, ms):
    assert context.forwarder.cancelled.wait(ms / 1000)


@then("it gets status {status:d}, Retry-After {seconds} and no server stamp")
def is_refusal(context, status, seconds):
    assert status_of(context.received) == status
    assert f"Retry-After: {seconds}\r\n".encode() in context.received
    assert b"Stamp" not in context.received


@then("it gets status {status:d} and the connection closes")
def connection_closes(context, status):
    assert status_of(context.received) == status
    assert b"Connection: close\r\n" in context.received
