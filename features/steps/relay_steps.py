# relay_steps.py -- Steps about requests that are sent from one instance to another over HTTP
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about requests that are sent from one instance to another over HTTP."""

from dataclasses import replace

import gevent
from behave import given, then, when
from gevent import socket
from gevent.pywsgi import WSGIServer
from ingress_steps import LIMITS, FakeForwarder
from mountladder_platform import names
from mountladder_platform.httppeerrelay import HttpPeerRelay
from mountladder_platform.reading import read_request
from mountladder_platform.relayingress import RelayIngress
from platform_steps import listen, receive_request

from mountladder.clocks.systemclock import SystemClock
from mountladder.errors import StageError
from mountladder.forwarding.forwardanswer import ForwardAnswer
from mountladder_entry.callerconnection import CallerConnection
from mountladder_entry.weberrorlog import WebErrorLog

LIMIT_MS = 2_000.0
EVENT_SECONDS = 0.1
SENT_HEADERS = (
    ("Mountladder-Request-Id", "r1"),
    ("Mountladder-Deadline-Ms", "1500"),
    ("Authorization", "Bearer k"),
    ("Host", "x.y"),
    ("Cookie", "a"),
    ("Cookie", "b"),
    ("Last-Event-Id", "7"),
    ("Resumes", "r0"),
)


class RelayForwarder(FakeForwarder):
    """A forwarder that also answers with a slow stream."""

    def serve(self, request, relayed=False):
        assert relayed
        if self.behaviour == "a slow stream":
            self.requests.append(request)
            return ForwardAnswer(200, (("Mountladder-Server-Stamp", "s"),), self.slow_stream())
        return super().serve(request)

    def slow_stream(self):
        for number in range(1, 4):
            yield b"id: %d\n\n" % number
            gevent.sleep(EVENT_SECONDS)


@given('another instance whose forwarder answers "{behaviour}"')
def other_instance(context, behaviour):
    context.forwarder = RelayForwarder(behaviour)
    context.accepts = True
    handler = type("Handler", (CallerConnection,), {"limits": staticmethod(lambda: LIMITS)})
    application = RelayIngress(
        context.forwarder, lambda: LIMITS, SystemClock(), lambda: None, lambda: context.accepts
    )
    server = WSGIServer(
        ("127.0.0.1", 0), application, log=None, error_log=WebErrorLog(), handler_class=handler
    )
    server.start()
    context.stack.callback(server.stop, 0.1)
    context.peer = f"127.0.0.1:{server.server_port}"


@given("it accepts no relayed requests")
def accepts_none(context):
    context.accepts = False


@given("another instance that does not listen")
def not_listening(context):
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        context.peer = f"127.0.0.1:{unused.getsockname()[1]}"


@given("another instance that breaks the connection after it has read the request")
def breaks_connection(context):
    def handle(connection, address):
        receive_request(connection, b"")
        connection.close()

    context.peer = listen(context, handle)


@when("a request is relayed to it that has waited for {ms:d} ms")
def relay(context, ms):
    context.clock = SystemClock()
    head = read_request("POST", "/a/b?c=%20d", SENT_HEADERS, b"hi", context.clock.now() - ms)
    context.request = replace(head, holder=None)
    context.error = context.answer = None
    try:
        context.answer = HttpPeerRelay(context.clock).send(context.peer, context.request, LIMIT_MS)
    except StageError as error:
        context.error = error


@then("it runs the caller's request, with the deadline and the arrival that it had")
def same_request(context):
    (received,) = context.forwarder.requests
    sent = replace(context.request, arrived=received.arrived)
    assert replace(received, holder=None) == sent, received
    assert (received.last_event_id, received.resumes) == ("7", "r0")
    assert abs(received.arrived - context.request.arrived) < 50.0


@then('the answer is its server\'s, signed, with body "{body}"')
def servers_answer(context, body):
    assert context.answer.signed and context.answer.status == 200
    assert ("Mountladder-Request-Id", "r1") in context.answer.headers
    assert context.answer.read(LIMIT_MS) == body.encode()


@then("its events arrive one by one")
def one_by_one(context):
    arrived = []
    while data := context.answer.read_some(LIMIT_MS):
        arrived.append((context.clock.now(), data))
    assert [data for _, data in arrived] == [b"id: 1\n\n", b"id: 2\n\n", b"id: 3\n\n"]
    assert arrived[-1][0] - arrived[0][0] > EVENT_SECONDS * 1000.0


@then("reading the answer fails after its first event")
def cut_after_first(context):
    assert context.answer.read_some(LIMIT_MS) == b"id: 1\n\n"
    try:
        data = context.answer.read_some(LIMIT_MS)
    except StageError:
        return
    raise AssertionError(data)


@then("the answer is unsigned, with status {status:d} and Retry-After {seconds}")
def refusal(context, status, seconds):
    assert not context.answer.signed and context.answer.status == status
    assert ("Retry-After", seconds) in context.answer.headers, context.answer.headers


@then("it is declined, and has not run")
def declined(context):
    assert context.error is None and context.answer is None
    assert not context.forwarder.requests


@then("it fails and {outcome}")
def fails(context, outcome):
    assert context.error is not None
    assert context.error.dispatched == (outcome == "may have run"), context.error


@when("a request is relayed to it whose caller leaves after {ms:d} ms")
def caller_leaves(context, ms):
    task = gevent.spawn(relay, context, 0)
    gevent.sleep(ms / 1000.0)
    assert context.forwarder.requests and not context.forwarder.cancelled.is_set()
    task.kill()


@when("a caller's request names the header of relayed requests")
def names_header(context):
    headers = [*SENT_HEADERS, (names.WAITED_MS, "9000")]
    context.request = read_request("POST", "/a/b", headers, b"", 0.0)


@then("the header is not passed on")
def not_passed_on(context):
    sent = {name.lower() for name, _ in context.request.headers}
    assert names.WAITED_MS.lower() not in sent and context.request.arrived == 0.0
