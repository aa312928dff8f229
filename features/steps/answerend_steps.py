# answerend_steps.py -- Steps about how answers are framed, and how their connections end
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about how answers are framed, and how their connections end."""

import base64
import json
import re
from contextlib import suppress
from dataclasses import asdict
from types import SimpleNamespace

import bottle
import gevent
from answerends import CHUNKED, EndingServer, end, framed, id_of, within_body
from behave import given, then, when
from calleranswer import fetch
from endinginstance import EVENTS, FIRST_BODY, OTHER_BODY, EndingInstance
from forwardbasics import PATHS
from gevent import socket
from gevent.pywsgi import WSGIServer
from ingress_steps import HEAD as REQUEST_HEAD
from ingress_steps import ID, read_all
from logrecorder import record_lines
from mountladder_platform.httppeerrelay import HttpPeerRelay
from mountladder_platform.reading import read_request
from mountladder_platform.store import StoreTable, change_rows
from platform_steps import listen, make_upstream
from rawanswers import HEAD
from requestmemory_steps import HEAD as LOOPBACK_HEAD

from mountladder.configuration.stage import Stage
from mountladder.engines.order import Order
from mountladder.errors import MountladderError, PeerError, StageError
from mountladder.forwarding.piece import Piece
from mountladder.membership.heartbeat import Heartbeat
from mountladder.membership.instance import Instance
from mountladder.membership.tcplink import TcpLink
from mountladder.metrics.memorymetrics import MemoryMetrics
from mountladder.requests.stagecall import StageCall
from mountladder.store.position import Position
from mountladder.store.write import ABSENT, Write
from mountladder_entry import callers
from mountladder_entry.httpbackend import HttpBackend
from mountladder_entry.httpclient import HttpClient
from mountladder_entry.httpengines import HttpEngines
from mountladder_entry.httpinstancelist import HttpInstanceList
from mountladder_entry.httpobjectstore import HttpObjectStore
from mountladder_entry.httptable import HttpTable
from mountladder_entry.limitedconnection import LimitedConnection
from mountladder_entry.relay import Relay
from mountladder_entry.weberrorlog import WebErrorLog

LIMIT_MS = 2_000.0
LIMIT_S = 2.0
# The late second answer has come by then.
BETWEEN_CALLS_S = 0.05
EARNING_REQUESTS = 10
START = 1_700_000_000_000
ATTEMPT = b"X-Attempt: @ID\r\n"
DONE = "done"
BODY = b"a body"
REQUESTS = {
    "neither": REQUEST_HEAD + ID + b"\r\n",
    "a length": REQUEST_HEAD + ID + b"Content-Length: %d\r\n\r\n" % len(BODY) + BODY,
    "chunks": REQUEST_HEAD + ID + CHUNKED + b"\r\n3\r\na b\r\n3\r\nody\r\n0\r\n\r\n",
}
# How many byte strings an instance writes before each part of what it sends.
WRITES = {"hello": 0, "proof": 1, "first message": 2, "second message": 3}


def row(number):
    value = base64.b64encode(b"value %d" % number).decode()
    return {"key": "k", "value": value, "version": number}


def page(number):
    value = base64.b64encode(b"value %d" % number).decode()
    return {"rows": [{"key": "k", "value": value, "ver": number}], "ver": number, "now_ms": 1}


def tokens(number):
    return b'id: 1\ndata: "%d"\n\nevent: done\ndata: {"tokens": 1}\n\n' % number


def instance(number):
    return asdict(Instance("i", "x", "a", "127.0.0.1:1", "127.0.0.1:2", cores=float(number)))


def as_json(make, head=b""):
    return lambda number: (head, json.dumps(make(number)).encode())


# The head and the body of the answer with a number to each call.
ANSWERS = {
    "a call with pieces": as_json(lambda n: {"items": [{"handle": f"10.0.0.1:{n}/a"}]}),
    "giving up results": lambda n: (b"", b"given up"),
    "freeing a copy": lambda n: (b"", b"freed"),
    "a health check": lambda n: (b"Mountladder-Cold-Ms: %d\r\n" % n, b"cold"),
    "a question for its start": as_json(lambda n: {"stage": "both", "born": START + n}),
    "reading a table": as_json(page),
    "reading changes": as_json(page),
    "a change of rows": as_json(lambda n: {"ver": n}),
    "reading a row": as_json(row),
    "reading rows": as_json(lambda n: [row(n)]),
    "a transaction": as_json(lambda n: {"version": n}),
    "reading an object": lambda n: (b"", b"object %d" % n),
    "writing an object": lambda n: (b"", b"written"),
    "reading the list of instances": as_json(lambda n: [instance(n)]),
    "an announcement": lambda n: (b"", b"announced"),
    "reading an engine's state": as_json(lambda n: {"models": {}, "loading": {}, "fence": n}),
    "an order to an engine": lambda n: (b"", b"obeyed"),
    "a stage whose result is an object": as_json(lambda n: {"result": n}, ATTEMPT),
    "a stage whose result is a number": lambda n: (ATTEMPT, b"%d%d%d%d%d" % ((n,) * 5)),
    "a stage with a stream": lambda n: (ATTEMPT, tokens(n)),
    "a relayed request": lambda n: (HEAD, b"answer %d" % n),
    "a request relayed for its key": lambda n: (b"Content-Type: text/plain\r\n", b"answer %d" % n),
}


def run_pieces(context):
    piece = Piece("r1", 0, 0, "key", (), context.upstream.clock.now() + 60_000.0)
    (result,) = context.upstream.run_pieces(context.server, [piece], LIMIT_MS, lambda *_: None)
    return int(result.handle.removeprefix("10.0.0.1:").removesuffix("/a"))


def unless_logged(message, call):
    """Return a function that makes a call, and returns whether it did without a log line."""

    def make(context):
        record_lines(context)
        call(context)
        failed = any(line.get("message_type") == message for line in context.lines)
        return None if failed else DONE

    return make


def free(context):
    context.upstream.free(context.server, ["10.0.0.1:1/a"], lambda *_: None)


def free_copy(context):
    context.upstream.free_copy(context.server, "r1", lambda *_: None)


def started_at(context):
    started = context.upstream.started_at(context.server, LIMIT_MS)
    return None if started is None else started - START


def read_page(read):
    return lambda context: read(StoreTable(context.client, "servers")).position.version


def done(call):
    def make(context):
        call(context)
        return DONE

    return make


def read_object(context):
    value = HttpObjectStore(context.client).get("o")
    assert value.startswith(b"object "), value
    return int(value.removeprefix(b"object "))


def run_stage(context):
    result = context.backend.run(context.server, stage_call(context)).value
    found = json.loads(result)
    return found["result"] if isinstance(found, dict) else found // 11_111


def stream_stage(context):
    chunks = b"".join(chunk.events for chunk in context.backend.stream(*stream_call(context)))
    return int(chunks.split(b'"')[1])


def stream_call(context):
    return context.server, stage_call(context)


def stage_call(context):
    stage = Stage("encode", "encode", "", "", (), True, False, 0.0)
    return StageCall("r1", "r1", stage, context.input, context.upstream.clock.now() + LIMIT_MS)


def relay(context):
    clock = context.upstream.clock
    headers = (("Host", "x.y"), ("Mountladder-Request-Id", "r1"))
    request = read_request("POST", "/a", headers, b"hi", clock.now())
    answer = HttpPeerRelay(clock).send(context.server.address, request, LIMIT_MS)
    body = answer.read(LIMIT_MS)
    return number_of(body, answer.ends_with_connection)


def relay_for_key(context):
    """Have an instance relay a request, and return what the caller gets."""
    deadline = context.upstream.clock.now() + LIMIT_MS
    request = SimpleNamespace(
        input=b"1", idempotent=False, deadline=deadline, pipeline=SimpleNamespace(name="p")
    )
    peer = SimpleNamespace(web=context.server.address)
    membership = SimpleNamespace(find=lambda incarnation: peer)
    inner = Relay(membership, context.upstream.clock, MemoryMetrics())
    context.stack.callback(inner.close)
    # Without an answer the instance looks for a stored one.
    stored = SimpleNamespace(stored_answer=b"the stored answer")
    idempotency = SimpleNamespace(stored_answer=lambda request: stored)
    node = SimpleNamespace(relay=inner, gateway=SimpleNamespace(idempotency=idempotency))
    reply = SimpleNamespace(issued_key=SimpleNamespace(incarnation="i"), request=request)
    app = bottle.Bottle()
    app.get("/", callback=lambda: callers.relay(node, reply))
    options = {"log": None, "error_log": WebErrorLog(), "handler_class": LimitedConnection}
    web = WSGIServer(("127.0.0.1", 0), app, **options)
    web.start()
    context.stack.callback(web.stop, 0.1)
    received = fetch(web.server_port)
    if received.claim == "broken":
        return "a broken answer"
    if received.status != 200:
        return f"status {received.status}"
    return number_of(received.body, received.claim == "none")


def number_of(body, ends_with_connection):
    """Return the number of an answer by its body, or say what came instead and what it claims."""
    if body in {b"answer 1", b"answer 2", b"answer 3"}:
        return int(body.removeprefix(b"answer "))
    found = "a part" if b"answer 1".startswith(body) else "more than its body"
    return found + (" without a claim" if ends_with_connection else " that is claimed to be whole")


CALLS = {
    "a call with pieces": run_pieces,
    "giving up results": unless_logged("results-not-freed", free),
    "freeing a copy": unless_logged("copy-not-freed", free_copy),
    "a health check": lambda context: context.upstream.cold_ms(context.server, "/h", LIMIT_MS),
    "a question for its start": started_at,
    "reading a table": read_page(lambda table: table.read()),
    "reading changes": read_page(lambda table: table.changes(Position(0, 0), 0.0)),
    "a change of rows": done(lambda context: change_rows(context.client)),
    "reading a row": lambda context: HttpTable(context.client).read("k").version,
    "reading rows": lambda context: HttpTable(context.client).scan("k")[0].version,
    "a transaction": lambda context: HttpTable(context.client).commit([Write("k", b"v", ABSENT)]),
    "reading an object": read_object,
    "writing an object": done(
        lambda context: HttpObjectStore(context.client).put("o", context.input)
    ),
    "reading the list of instances": lambda context: (
        HttpInstanceList(context.client).instances()[0].cores
    ),
    "an announcement": done(
        lambda context: HttpInstanceList(context.client).announce(Instance(**instance(1)))
    ),
    "reading an engine's state": lambda context: context.engines.state(context.server).fence,
    "an order to an engine": done(
        lambda context: context.engines.order(context.server, Order(1, ()))
    ),
    "a stage whose result is an object": run_stage,
    "a stage whose result is a number": run_stage,
    "a stage with a stream": stream_stage,
    "a relayed request": relay,
    "a request relayed for its key": relay_for_key,
}


@given("a server that resets the connection behind an answer with {framing}, to {call}")
def early_server(context, framing, call):
    """Serve answers that are sent before the request is read, as connections are reset."""
    context.call = call
    head, body = ANSWERS[call](1)
    data = framed(framing, body, head)

    def handle(connection, _):
        received = b""
        while b"\r\n\r\n" not in received:
            received += connection.recv(65_536)
        connection.sendall(data.replace(b"@ID", id_of(received.partition(b"\r\n\r\n")[0])))
        # The request fills the buffers, and is still being written.
        gevent.sleep(BETWEEN_CALLS_S)
        end(connection, "reset")

    make_clients(context, listen(context, handle))


@given("a server whose first answer has {framing}, to {call}, and ends with {how}")
def ending_server(context, framing, call, how):
    context.call = call
    context.ending = EndingServer(context.stack, framing, how, ANSWERS[call])
    make_clients(context, context.ending.address)


def make_clients(context, address):
    """Make clients of a server, and close them with the scenario."""
    # The time of the event loop stands still while modules are loaded.
    gevent.sleep(0)
    context.input = b"{}"
    make_upstream(context, address)
    clock = context.upstream.clock
    context.client = HttpClient(f"http://{address}", clock, LIMIT_MS)
    context.backend, context.engines = HttpBackend(clock), HttpEngines(clock)
    for one in (context.client, context.backend, context.engines):
        context.stack.callback(one.close)


@when("that call is made twice")
def make_twice(context):
    context.outcomes = []
    for _ in range(2):
        make_call(context)
        gevent.sleep(BETWEEN_CALLS_S)


def make_call(context):
    """Make the scenario's call, and record what it gives."""
    try:
        context.outcomes.append(CALLS[context.call](context))
    except StageError as error:
        ran = "may have run" if error.dispatched else "not run"
        context.outcomes.append(f"code {error.code.number}, {ran}")
    except MountladderError as error:
        context.outcomes.append(f"code {error.code.number}")


@when("that call is made with {mb:d} MB")
def make_with_large(context, mb):
    context.outcomes = []
    context.input = b'"%b"' % (b"x" * mb * 1_000_000)
    make_call(context)


@then("it gives {outcome}")
@then("the first one gives {outcome}")
def first_gives(context, outcome):
    named = {"its answer": (1, DONE), "nothing": (None,)}
    assert context.outcomes[0] in named.get(outcome, (outcome,)), context.outcomes


@then("the second one gives its own answer")
def second_gives(context):
    assert context.outcomes[1] in (3, DONE), context.outcomes


@given("an instance on loopback, one answer of whose servers has {framing} and ends with {how}")
def ending_instance(context, framing, how):
    context.ending = EndingInstance(context.stack, framing, how)


@given(
    "an instance on loopback, one stream of whose servers has {framing} and ends {cut} "
    "with {how}"
)
def ending_stream(context, framing, cut, how):
    context.ending = EndingInstance(context.stack, framing, how, cut)


@given("the rest of the stream has {framing}, and is sent {how_much}")
def set_rest(context, framing, how_much):
    context.ending.rest = (framing, how_much == "whole")


@when("a caller sends it a {kind} request, which is given that answer, and another one")
def send_to_ending(context, kind):
    # A second attempt draws on what earlier requests have earned.
    for _ in range(EARNING_REQUESTS):
        send_to(context, kind)
    context.ending.treated, context.ending.ends_next = 0, True
    context.received = send_to(context, kind)
    context.treated = context.ending.treated
    context.received_next = send_to(context, kind)


def send_to(context, kind):
    """Send a request to the instance on a connection of its own, and return the answer."""
    head = LOOPBACK_HEAD % (PATHS[kind].encode(), 0)
    request = head.replace(b"\r\n", b"\r\nConnection: close\r\n", 1)
    return fetch(context.ending.address[1], request)


@then("the caller gets {outcome}, after {servers:d} servers had the request")
def ending_caller_gets(context, outcome, servers):
    found = body_outcome(context.received, context.ending.cut)
    assert found == outcome, (found, context.received.head, context.received.body)
    assert context.treated == servers, context.treated


@then("the next one gets its own answer")
def next_gets(context):
    received = context.received_next
    expected = b"".join(EVENTS) if context.ending.cut else OTHER_BODY
    assert (received.status, received.claim) == (200, "whole"), received.head
    assert received.body == expected, received.body


def body_outcome(received, is_stream):
    """Say what a caller got."""
    if received.status != 200:
        return f"status {received.status}"
    bodies = {FIRST_BODY: "the whole body", OTHER_BODY: "another server's body"}
    named = {b"".join(EVENTS): "all events"} if is_stream else bodies
    is_part = any(body.startswith(received.body) for body in named)
    found = named.get(received.body, "a part" if is_part else "more than its body")
    if received.claim == "broken":
        return "a broken answer"
    if received.claim == "none":
        return found + " without a claim"
    return found if received.body in named else found + " that is claimed to be whole"


class CutLink(TcpLink):
    """A link whose connection ends within one of the byte strings that it writes.

    Attributes:
        writes: How many it still writes whole.
        how: How the connection ends.
    """

    writes, how = 0, ""

    def write(self, data):
        """Write bytes; see TcpLink."""
        self.writes -= 1
        if self.writes >= 0:
            super().write(data)
        elif self.how == "a second message":
            super().write(data + data)
        else:
            self.connection.sendall(data[: len(data) // 2])
            end(self.connection, self.how)
            raise PeerError("ended on purpose")


@given("a link to another instance that ends within its {part} with {how}")
def cut_link(context, part, how):
    secret, near = b"secret", Instance("a-1", "a", "a", "", "")

    def handle(connection, _):
        link = CutLink(connection, secret, Instance("b-1", "b", "b", "", ""))
        link.writes, link.how = WRITES[part], how
        with suppress(PeerError):
            link.handshake()
            link.send(Heartbeat(1, 0))
            link.send(Heartbeat(2, 0))

    host, _, port = listen(context, handle).partition(":")
    connection = socket.create_connection((host, int(port)), LIMIT_S)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    context.link = TcpLink(connection, secret, near)
    context.stack.callback(context.link.close)


@when("messages are received over it until it fails")
def receive_messages(context):
    context.messages = []
    try:
        context.link.handshake()
        while True:
            context.messages.append(context.link.receive())
    except PeerError as error:
        context.code = error.code.number


@then("{number:d} messages are received, and it fails with code {code:d}")
def messages_received(context, number, code):
    assert (len(context.messages), context.code) == (number, code), context.messages


@when("a caller's request with {framing} ends with {how}")
def send_ending_request(context, framing, how):
    with socket.create_connection(context.address, LIMIT_S) as connection:
        request = REQUESTS[framing]
        if how == "a second request":
            connection.sendall(request + request.replace(b"r1", b"r2"))
            connection.shutdown(socket.SHUT_WR)
        elif how == "other bytes":
            connection.sendall(request + BODY + b"\r\n\r\n")
        else:
            connection.sendall(within_body(request))
            end(connection, how)
            return
        context.received = read_all(connection)


@then("no request is run")
def none_run(context):
    gevent.sleep(BETWEEN_CALLS_S)
    assert not context.forwarder.requests, context.forwarder.requests


@then("requests {ids} are run, and each gets its own answer")
def requests_run(context, ids):
    expected = ids.split(" and ")
    assert [one.id for one in context.forwarder.requests] == expected, context.forwarder.requests
    found = re.findall(rb"answer to (r.)", context.received)
    assert [one.decode() for one in found] == expected, context.received
    assert all(one.body in {b"", BODY} for one in context.forwarder.requests)
