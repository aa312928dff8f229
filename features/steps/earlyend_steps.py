# earlyend_steps.py -- Steps about messages that end before they are whole
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about messages that end before they are whole."""

import itertools
from types import SimpleNamespace

from behave import given, then, when
from forwardbasics import PATHS
from gevent import socket
from ingress_steps import HEAD as REQUEST_HEAD
from ingress_steps import ID, read_all
from loopbackinstance import LoopbackInstance
from mountladder_platform.httppeerrelay import HttpPeerRelay
from mountladder_platform.reading import read_request
from mountladder_platform.store import StoreTable, change_rows
from platform_steps import listen, make_call, make_upstream, receive_request
from rawanswers import HEAD, answer
from requestmemory_steps import HEAD as LOOPBACK_HEAD

from mountladder.configuration.stage import Stage
from mountladder.errors import MountladderError, StageError
from mountladder.forwarding.piece import Piece
from mountladder.requests.stagecall import StageCall
from mountladder_entry.httpbackend import HttpBackend
from mountladder_entry.httpclient import HttpClient

LIMIT_MS = 2_000.0
EARNING_REQUESTS = 10
CODING = b"Transfer-Encoding: chunked\r\n"
CHUNKS = b"2\r\n12\r\n3\r\n345\r\n"
BODY = b"12345"
PAGE = b'{"rows": [], "ver": 7, "now_ms": 1}'
HEALTH = answer(200, b"", b"Mountladder-Cold-Ms: 1250\r\n")
REPORT = answer(200, b'{"stage": "both", "born": 1700000000123}', b"")
RESULTS = b'{"items": [{"handle": "10.0.0.1:1/a"}]}'


def chunked(chunks, head=HEAD):
    return answer(200, chunks, head + CODING, length=False)


def one_chunk(body):
    return b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)


ANSWERS = {
    "with a length": answer(200, BODY),
    "with a length of 0": answer(200, b""),
    "without a length": answer(200, BODY, length=False),
    "in chunks": chunked(CHUNKS + b"0\r\n\r\n"),
    "in chunks whose sizes have leading zeros": chunked(b"0005\r\n12345\r\n0000\r\n\r\n"),
    "in chunks with an extension": chunked(b"05;a=1\r\n12345\r\n0;a=1\r\n\r\n"),
    "in chunks with a trailer": chunked(CHUNKS + b"0\r\nX-Sum: 1\r\nX-End: 2\r\n\r\n"),
    "behind an interim response": b"HTTP/1.1 100 Continue\r\nX: 1\r\n\r\n" + answer(200, BODY),
    "with results": answer(200, RESULTS, b""),
    "with results in chunks": chunked(one_chunk(RESULTS), b""),
    "that tell health": HEALTH,
    "with a report": REPORT,
    "with a page": answer(200, PAGE, b""),
    "with a page in chunks": chunked(one_chunk(PAGE), b""),
    "with an empty object": answer(200, b"{}", b""),
}
REQUESTS = {
    "without a body": REQUEST_HEAD + ID + b"\r\n",
    "with a length": REQUEST_HEAD + ID + b"Content-Length: 12\r\n\r\n" + b"x" * 12,
    "in chunks": REQUEST_HEAD + ID + CODING + b"\r\n" + CHUNKS + b"0\r\n\r\n",
    "in chunks with a trailer": REQUEST_HEAD
    + ID
    + CODING
    + b"\r\n"
    + CHUNKS
    + b"0\r\nX: 1\r\n\r\n",
}


@given("a backend server whose answers {form} are cut behind each byte")
@given("a store whose answers {form} are cut behind each byte")
@given("an instance whose answers {form} are cut behind each byte")
def cut_answers(context, form):
    """Serve an answer on each connection, cut behind one byte more than on the one before."""
    data = ANSWERS[form].replace(b"@ID", b"r1")
    context.whole, context.cuts = data, range(len(data) + 1)
    # Up to here the answer lacks something; one without a length may end with any byte of its body.
    lacking = data.index(b"\r\n\r\n") + 4 if form == "without a length" else len(data)
    context.lacking = lacking
    lengths = itertools.count()

    def handle(connection, address):
        received, _ = receive_request(connection, b"")
        if received is not None:
            connection.sendall(data[: next(lengths)])
        connection.close()

    make_upstream(context, listen(context, handle))


@given("a stage's server whose answers {form} are cut behind each byte")
def stage_server_of_cut_answers(context, form):
    # The id of the attempt stands in the place of that of the request.
    named = HEAD.replace(b"Mountladder-Request-Id", b"X-Attempt-Id")
    ANSWERS["of a stage"] = ANSWERS[form].replace(HEAD, named)
    cut_answers(context, "of a stage")


def outcomes(context, ask):
    """Call a function once for each cut; return what it returns or the error that it raises."""
    found = []
    for _ in context.cuts:
        try:
            found.append(ask())
        except MountladderError as error:
            found.append(error)
    return found


@when("requests are sent to it, one for each cut")
def send_each(context):
    def ask():
        found = context.upstream.open(context.server, make_call(context, "r1"), LIMIT_MS)
        return found.read(LIMIT_MS)

    context.found = outcomes(context, ask)


@when("requests are relayed to it, one for each cut")
def relay_each(context):
    clock = context.upstream.clock
    headers = (("Host", "x.y"), ("Mountladder-Request-Id", "r1"))

    def ask():
        request = read_request("POST", "/a", headers, b"hi", clock.now())
        found = HttpPeerRelay(clock).send(context.server.address, request, LIMIT_MS)
        return found.read(LIMIT_MS)

    context.found = outcomes(context, ask)


@when("the stage is run there, once for each cut")
def run_each(context):
    clock = context.upstream.clock
    backend = HttpBackend(clock)
    context.stack.callback(backend.close)
    stage = Stage("encode", "encode", "", "", (), True, False, 0.0)

    def ask():
        call = StageCall("r1", "r1", stage, b"{}", clock.now() + LIMIT_MS)
        return backend.run(context.server, call).value

    context.found = outcomes(context, ask)


@then("no cut answer was read as a whole one, and each request may have run")
def no_cut_answer(context):
    for cut, one in enumerate(context.found[: context.lacking]):
        assert isinstance(one, StageError) and one.dispatched, (context.whole[:cut][-20:], one)


@then("the whole answer was read")
def whole_answer(context):
    body = context.found[-1]
    assert body == (b"" if b"Length: 0" in context.whole else BODY), body


@given("an instance on loopback whose servers break the first head off, then {conduct}")
def loopback_instance(context, conduct):
    context.loopback = LoopbackInstance(context.stack, conduct)


@when("a caller sends it a {kind} request")
def send_to_loopback(context, kind):
    # A second attempt draws on what earlier requests have earned.
    for _ in range(EARNING_REQUESTS):
        call_loopback(context, kind)
    context.loopback.treated, context.loopback.breaks_next_head = 0, True
    context.received = call_loopback(context, kind)


def call_loopback(context, kind):
    """Send a request on a connection of its own, and return the answer."""
    with context.loopback.connect() as connection:
        head = LOOPBACK_HEAD % (PATHS[kind].encode(), 0)
        connection.sendall(head.replace(b"\r\n", b"\r\nConnection: close\r\n", 1))
        return read_all(connection)


@then("the caller gets status {status:d} with {body}, after {servers:d} of them had it")
def caller_gets(context, status, body, servers):
    head, _, received = context.received.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 %d " % status), context.received
    assert context.loopback.treated == servers, context.loopback.treated
    is_signed = b"mountladder-server-stamp" in head.lower()
    assert is_signed == (status == 200), context.received
    if body == "the whole body":
        assert received == b"hi", received
    elif body == "all events":
        assert received.count(b"data: x\n\n") == 3 and received.endswith(b"0\r\n\r\n"), received
    else:
        assert b"hi" not in received and b"data: x" not in received, received


@when("{call} is made, once for each cut")
def make_each(context, call):
    upstream, server = context.upstream, context.server
    piece = Piece("r1", 0, 0, "key", (), upstream.clock.now() + 60_000.0)
    calls = {
        "a call with pieces": lambda: upstream.run_pieces(
            server, [piece], LIMIT_MS, lambda *_: None
        ),
        "a health check": lambda: upstream.cold_ms(server, "/health", LIMIT_MS),
        "a question for its start": lambda: upstream.started_at(server, LIMIT_MS),
    }
    context.found = outcomes(context, calls[call])


@then("only the whole answer was believed")
def only_whole(context):
    for cut, one in enumerate(context.found[:-1]):
        assert one is None or isinstance(one, StageError), (context.whole[:cut][-20:], one)
    assert context.found[-1] is not None, context.found[-1]
    assert not isinstance(context.found[-1], StageError), context.found[-1]


@when("{call} is made of it, once for each cut")
def call_store_each(context, call):
    client = HttpClient(f"http://{context.server.address}", context.upstream.clock)
    context.stack.callback(client.close)
    calls = {
        "a reading of a table": StoreTable(client, "servers").read,
        "a change of rows": lambda: change_rows(client),
    }
    context.found = outcomes(context, calls[call])


@then("each cut one failed with code {code:d}, and the whole one did not")
def cut_calls_failed(context, code):
    for cut, one in enumerate(context.found[:-1]):
        is_expected = isinstance(one, MountladderError) and one.code.number == code
        assert is_expected, (context.whole[:cut][-20:], one)
    assert not isinstance(context.found[-1], MountladderError), context.found[-1]


@when("a request {form} is sent up to each of its bytes, and the caller's side is closed")
def send_cut_requests(context, form):
    data = REQUESTS[form]
    context.found = []
    for cut in range(len(data) + 1):
        with socket.create_connection(context.address) as connection:
            connection.sendall(data[:cut])
            connection.shutdown(socket.SHUT_WR)
            received = read_all(connection)
        ran = len(context.forwarder.requests)
        context.forwarder.requests.clear()
        context.found.append(SimpleNamespace(sent=data[:cut], ran=ran, received=received))


@then("only the whole request was run")
def only_whole_run(context):
    *cut_requests, whole = context.found
    for one in cut_requests:
        assert not one.ran and b" 200 " not in one.received, one
    assert whole.ran == 1 and b" 200 " in whole.received, whole
