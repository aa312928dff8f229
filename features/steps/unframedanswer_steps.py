# unframedanswer_steps.py -- Steps about answers that have neither a length nor chunks
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about answers that have neither a length nor chunks."""

import random
from types import SimpleNamespace

import gevent
from behave import given, then, when
from forwardbasics import PATHS, ROUTES
from gevent import socket
from gevent.pywsgi import WSGIServer
from loopbackinstance import NAME
from mountladder_platform.httppeerrelay import HttpPeerRelay
from mountladder_platform.ingress import Ingress
from mountladder_platform.relayingress import RelayIngress
from requestmemory_steps import HEAD
from unframedinstance import UnframedInstance, part_of, whole_body

from mountladder.code import Code
from mountladder.errors import RunError
from mountladder.forwarding.callerlimits import CallerLimits
from mountladder.isolation.relayedrun import RelayedRun
from mountladder_entry.callerconnection import CallerConnection
from mountladder_entry.limitedconnection import LimitedConnection
from mountladder_entry.weberrorlog import WebErrorLog

# A second attempt draws on what earlier requests have earned.
EARNING_REQUESTS = 10
TIMEOUT_S = 3.0
MS_PER_SECOND = 1000.0
VERSIONS = {
    "HTTP/1.1": (b"HTTP/1.1", b""),
    "HTTP/1.0": (b"HTTP/1.0", b""),
    "HTTP/1.0 with a kept connection": (b"HTTP/1.0", b"Connection: keep-alive\r\n"),
}


@given("an instance on loopback whose servers answer without a length")
def unframed_instance(context):
    context.loopback = UnframedInstance(context.stack)
    context.address = context.loopback.address
    context.end = ""


@given("the first server sends a part of its answer, then {end}")
@given("the first server sends a part, then {end}")
def set_end(context, end):
    context.end = end


@given("the first server sends a whole answer, then ends the connection")
def set_whole(context):
    context.end = ""


def call(context, kind, version="HTTP/1.1"):
    """Send a request on a connection of its own; return what the caller gets."""
    protocol, more = VERSIONS[version]
    head = HEAD.replace(b"HTTP/1.1", protocol).replace(b"Host:", more + b"Host:", 1)
    with socket.create_connection(context.address, TIMEOUT_S) as connection:
        connection.sendall(head % (PATHS[kind].encode(), 0))
        return read_answer(connection)


def read_answer(connection):
    """Return an answer: its head, its body and whether its end shows that it is whole."""
    received, is_ended = b"", True
    try:
        while not is_whole(received) and (data := connection.recv(65_536)):
            received += data
    except ConnectionResetError:
        is_ended = False
    head, _, body = received.partition(b"\r\n\r\n")
    is_framed = b"content-length:" in head.lower() or b"transfer-encoding:" in head.lower()
    return SimpleNamespace(
        status=int(head.split(b" ")[1]),
        head=head,
        body=decode(body) if b"transfer-encoding:" in head.lower() else body,
        is_framed=is_framed,
        is_complete=is_whole(received) if is_framed else is_ended,
    )


def is_whole(received):
    """Return whether the length or the last chunk of an answer shows that it is whole."""
    head, _, body = received.partition(b"\r\n\r\n")
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return len(body) >= int(line.partition(b":")[2])
        if line.startswith(b"transfer-encoding:"):
            return body.endswith(b"0\r\n\r\n")
    return False


def decode(chunks):
    """Return the content of chunks."""
    content = b""
    while chunks:
        size, _, rest = chunks.partition(b"\r\n")
        content += rest[: int(size, 16)]
        chunks = rest[int(size, 16) + 2 :]
    return content


@when("one {kind:w} request goes to it by {version}")
def send_request(context, kind, version):
    for _ in range(EARNING_REQUESTS):
        call(context, kind)
    context.loopback.treated, context.loopback.next_end = 0, context.end
    context.whole = whole_body(PATHS[kind].encode())
    context.received = call(context, kind, version)


@when("a {kind:w} request is relayed to it by another instance")
def send_relayed(context, kind):
    relay = FakeRelay(context.loopback)
    application = Ingress(relay, CallerLimits, relay.clock)
    context.address = ("127.0.0.1", context.loopback.serve_callers(application))
    send_request(context, kind, "HTTP/1.1")


class FakeRelay:
    """Relays every request to one instance; it is its own forwarder, peers, budgets and metrics."""

    def __init__(self, loopback):
        self.clock = loopback.clock
        self.transport = HttpPeerRelay(self.clock)
        self.peers = self.budgets = self.metrics = self
        self.rng = random.Random(1)
        limits = CallerLimits()
        application = RelayIngress(
            loopback.instance.forwarder, lambda: limits, self.clock, lambda: None, lambda: True
        )
        self.peer = SimpleNamespace(
            name=NAME, web=f"127.0.0.1:{loopback.serve_callers(application)}"
        )

    def serve(self, request):
        route = next(one for one in ROUTES if request.path.startswith(one.prefix))
        return RelayedRun(self, request, route, False).answer()

    def choose(self, excluded):
        return None if self.peer.name in excluded else self.peer

    def spend(self, service, request):
        return True

    def ignore(self, *args, **options):
        """Ignore what is reported of a request."""

    begin = end = count = ignore


@given("a web server of {interface}, whose application fails within its answer")
def failing_server(context, interface):
    def application(environ, start_response):
        start_response("200 OK", [])
        yield b"a part"
        raise RunError("", Code.STREAM_CUT)

    handler = LimitedConnection if interface == "the product's own interface" else CallerConnection
    server = WSGIServer(
        ("127.0.0.1", 0), application, log=None, error_log=WebErrorLog(), handler_class=handler
    )
    server.start()
    context.stack.callback(server.stop, 0.1)
    context.address = ("127.0.0.1", server.server_port)


@when("it is sent a request by {version}")
def request_by_version(context, version):
    context.received = call(context, "safe", version)


@then("its answer looks incomplete")
def looks_incomplete(context):
    assert context.received.body in {b"", b"a part"}, context.received
    assert not context.received.is_complete, context.received


@given("they answer with status {status:d}, and end the connection {ms:d} ms later")
def answer_with_status(context, status, ms):
    context.loopback.status, context.loopback.pause_s = status, ms / MS_PER_SECOND


@when("a caller sends a stream request and leaves after {ms:d} ms")
def send_and_leave(context, ms):
    with socket.create_connection(context.address, TIMEOUT_S) as connection:
        connection.sendall(HEAD % (PATHS["stream"].encode(), 0))
        gevent.sleep(ms / MS_PER_SECOND)
    # The servers end their connections meanwhile.
    gevent.sleep(5 * ms / MS_PER_SECOND)


@then("no request counts as in flight at a server")
def none_in_flight(context):
    assert context.loopback.treated, "no server was sent the request"
    picker = context.loopback.instance.forwarder.context.picker
    servers = picker.directory.available("llm")
    running = {one.name: picker.router.state(one).running for one in servers}
    assert not any(running.values()), running


@when("two safe requests are sent to it at once")
def send_two(context):
    context.whole = whole_body(PATHS["safe"].encode())
    request = HEAD % (PATHS["safe"].encode(), 0)
    with socket.create_connection(context.address, TIMEOUT_S) as connection:
        connection.sendall(request + request)
        context.received = read_answer(connection)


@then("the second request has not run")
def second_not_run(context):
    assert context.loopback.treated == 1, context.loopback.treated


@then("the outcome is status {status:d} with {body}, sent to {servers:d} servers")
def caller_gets(context, status, body, servers):
    received = context.received
    assert received.status == status, received
    assert context.loopback.treated == servers, context.loopback.treated
    if body in {"the whole body", "all events"}:
        assert received.body == context.whole and received.is_complete, received
    elif body == "an open end":
        assert context.whole.startswith(received.body), received
        assert not received.is_complete, received
    else:
        assert received.is_complete and received.body not in context.whole, received


@then("the outcome is status {status:d}")
def caller_gets_status(context, status):
    assert context.received.status == status, context.received


@then("the outcome is the whole body")
def caller_gets_whole(context):
    assert context.received.body == context.whole and context.received.is_complete, context.received


@then("the outcome is {answer} that ends with its connection")
def ends_with_connection(context, answer):
    received = context.received
    expected = context.whole if answer == "a whole answer" else part_of(context.whole)
    assert (received.status, received.body) == (200, expected), received
    assert not received.is_framed and received.is_complete, received
    assert b"connection: close" in received.head.lower(), received
