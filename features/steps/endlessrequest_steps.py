# endlessrequest_steps.py -- Steps about requests of callers that never end
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about requests of callers that never end."""

import subprocess
import sys
import time

import gevent
from behave import given, then, when
from endlessanswer_steps import chunked, watch_turns
from gevent import socket
from gevent.pywsgi import WSGIServer
from ingress_steps import HEAD, ID, FakeForwarder, read_all, status_of
from mountladder_platform.ingress import Ingress
from mountladder_platform.monitoring import Monitoring

from mountladder.clocks.systemclock import SystemClock
from mountladder.forwarding.callerlimits import CallerLimits
from mountladder_entry.callerconnection import CallerConnection
from mountladder_entry.limitedconnection import LimitedConnection
from mountladder_entry.weberrorlog import WebErrorLog

SENT_AT_ONCE_BYTES = 65_536
DEADLINE_MS = 20_000
NOISE = b"X-Noise: 1\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
LAST_CHUNK = b"0\r\n"
SMUGGLED = b"POST /smuggled HTTP/1.1\r\nHost: x.y\r\nMountladder-Request-Id: r9\r\n\r\n"
# What a caller sends behind the head of its request, or in place of it, and then without end.
BEHIND = {
    "a header line": (b"X-Noise: ", b"x"),
    "header lines": (b"", NOISE),
    "chunks of 4 bytes": (CHUNKED, b"4\r\nxxxx\r\n"),
    "chunks of 64 KB": (CHUNKED, b"10000\r\n" + b"x" * 65_536 + b"\r\n"),
    "a chunk size": (CHUNKED, b"0"),
    "a chunk extension": (CHUNKED + b"4;", b"x"),
    "trailer lines": (CHUNKED + LAST_CHUNK, NOISE),
    "a trailer line": (CHUNKED + LAST_CHUNK + b"X-Noise: ", b"x"),
    "a body of 4 GB": (b"Content-Length: 4000000000\r\n\r\n", b"x"),
    "a body of 4 MB": (b"Content-Length: 4000000\r\n\r\n", b"x"),
    "a body of 3 MB, and 1 GB behind it": (b"Content-Length: 3000000\r\n\r\n", b"x"),
}
INSTEAD = {"a request line": (b"GET /", b"x"), "empty lines": (b"", b"\r\n")}
# Runs as a process of its own, so that bytes are there whenever the interface reads.
SENDER = """
import socket, sys
host, port, (first, more) = sys.argv[1], int(sys.argv[2]), map(bytes.fromhex, sys.stdin)
with socket.create_connection((host, port)) as connection:
    connection.settimeout(20.0)
    connection.sendall(first)
    while True:
        connection.sendall(more * max(1, {size} // len(more)))
"""


@given("an interface for {interface}")
def interface_for(context, interface):
    context.forwarder = FakeForwarder("an answer")
    clock = SystemClock()
    application, handler = {
        "callers": (Ingress(context.forwarder, CallerLimits, clock), CallerConnection),
        "monitoring": (Monitoring(lambda: True, lambda: None), LimitedConnection),
    }[interface]
    context.path = {"callers": b"POST /a/b", "monitoring": b"GET /mountladder/readyz"}[interface]
    server = WSGIServer(
        ("127.0.0.1", 0), application, log=None, error_log=WebErrorLog(), handler_class=handler
    )
    server.start()
    context.stack.callback(server.stop, 0.1)
    context.address = ("127.0.0.1", server.server_port)


def head(context, deadline_ms=DEADLINE_MS):
    deadline = b"Mountladder-Deadline-Ms: %b\r\n" % str(deadline_ms).encode()
    return HEAD.replace(b"POST /a/b", context.path) + ID + deadline


@when("a caller sends {bytes_} without end")
def sends_endless(context, bytes_):
    first, more = INSTEAD.get(bytes_) or BEHIND[bytes_]
    first = first if bytes_ in INSTEAD else head(context) + first
    watch_turns(context)
    script = SENDER.format(size=SENT_AT_ONCE_BYTES)
    command = [sys.executable, "-c", script, context.address[0], str(context.address[1])]
    context.began = time.monotonic()
    context.sender = subprocess.Popen(command, stdin=subprocess.PIPE, stderr=subprocess.DEVNULL)
    context.sender.stdin.write(f"{first.hex()}\n{more.hex()}\n".encode())
    context.sender.stdin.close()
    context.stack.callback(context.sender.wait)
    context.stack.callback(context.sender.kill)


@then("its connection ends within {ms:d} ms")
def connection_ends(context, ms):
    until = context.began + ms / 1000.0
    while context.sender.poll() is None and time.monotonic() < until:
        gevent.sleep(0.01)
    assert context.sender.poll() is not None


@when("a caller with a deadline of {deadline_ms:d} ms sends {bytes_} each {ms:d} ms")
def sends_slowly(context, deadline_ms, bytes_, ms):
    first, more = BEHIND[bytes_]
    with socket.create_connection(context.address) as connection:
        connection.sendall(head(context, deadline_ms) + first)
        context.began = time.monotonic()
        sender = gevent.spawn(send_slowly, connection, more, ms)
        connection.settimeout(10.0)
        context.received = b""
        try:
            while data := connection.recv(65_536):
                context.received += data
        except OSError as error:
            context.end = error
        context.took_ms = 1000.0 * (time.monotonic() - context.began)
        sender.kill()


def send_slowly(connection, more, ms):
    try:
        while True:
            connection.sendall(more)
            gevent.sleep(ms / 1000.0)
    except OSError:
        # The connection has ended.
        return


@then("its connection ends within {ms:d} ms with status {status:d}")
def ends_with_status(context, ms, status):
    assert context.took_ms <= ms, context.took_ms
    assert status_of(context.received) == status, context.received


def parts_of(body):
    """Return the parts in which a body is sent, with the headers that frame it."""
    if body == "a trailer behind the last chunk":
        return [CHUNKED + b"2\r\nhi\r\n" + LAST_CHUNK + b"X-Sum: 1\r\n\r\n"]
    words = body.split()
    if words[0] == "chunks":
        part = b"1388\r\n" + b"x" * 5_000 + b"\r\n"
        return [CHUNKED, *[part] * 10, LAST_CHUNK + b"\r\n"]
    data = b"x" * int(words[0])
    if "each" in words:
        return [b"Content-Length: %d\r\n\r\n" % (10 * len(data)), *[data] * 10]
    if words[-1] == "length":
        return [b"Content-Length: %d\r\n\r\n" % len(data) + data]
    return [CHUNKED + chunked(data, int(words[-1]))]


@when("a caller sends a request with {body}, and then another one")
def sends_two(context, body):
    with socket.create_connection(context.address) as connection:
        connection.sendall(head(context))
        for part in parts_of(body):
            connection.sendall(part)
            gevent.sleep(0.05)
        connection.sendall(head(context).replace(b": r1", b": r2") + b"Connection: close\r\n\r\n")
        context.received = read_all(connection)


@when("a caller with the deadline {deadline} sends a request with a body, in two parts")
def sends_with_deadline(context, deadline):
    with socket.create_connection(context.address) as connection:
        first, _, rest = head(context, deadline).partition(b"\r\n")
        connection.sendall(first + b"\r\nConnection: close\r\n" + rest)
        connection.sendall(b"Content-Length: 4\r\n\r\nhi")
        gevent.sleep(0.05)
        connection.sendall(b"hi")
        context.received = read_all(connection)


@then("it is answered with status {status:d}")
def answered_with(context, status):
    assert status_of(context.received) == status, context.received


@then("both are served")
def both_served(context):
    assert [one.id for one in context.forwarder.requests] == ["r1", "r2"], context.received
    assert context.received.count(b"answer to r") == 2, context.received


@when("a caller sends a request of which {part}, and another one in the rest of its body")
def sends_smuggled(context, part):
    length = 10 + len(SMUGGLED)
    start = head(context, 300)
    if part == "the head is refused":
        start = start.replace(ID, b"")
    if part == "the body is refused as too long":
        length = 5_000_000
    with socket.create_connection(context.address) as connection:
        connection.sendall(start + b"Content-Length: %d\r\n\r\n" % length + b"x" * 10)
        gevent.sleep(1.5)
        try:
            connection.sendall(SMUGGLED)
            read_all(connection)
        except OSError as error:
            context.end = error


@then("the other one is not served")
def not_smuggled(context):
    assert context.forwarder.requests == [], context.forwarder.requests
