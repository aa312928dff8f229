# endlessanswer_steps.py -- Steps about answers of servers that never end
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about answers of servers that never end."""

import time

import gevent
from behave import given, then, when
from platform_steps import listen, make_call, make_upstream

from mountladder.code import Code
from mountladder.configuration.stage import Stage
from mountladder.errors import MountladderError, StageError
from mountladder.forwarding.eventsplitter import EventSplitter
from mountladder.forwarding.piece import Piece
from mountladder.requests.stagecall import StageCall
from mountladder_entry.httpbackend import HttpBackend
from mountladder_entry.httpclient import HttpClient

HEAD = b"HTTP/1.1 200 OK\r\nMountladder-Request-Id: r1\r\nMountladder-Server-Stamp: s\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
NO_LENGTH = HEAD + b"\r\n"
LAST_CHUNK = b"0\r\n"
SENT_AT_ONCE_BYTES = 65_536
BODY = b"hello"
EVENT_END = b"\n\n"
# When a call that never ends is given up.
GIVEN_UP_S = 6.0
# What a server sends first, and then without end.
ENDLESS = {
    "interim responses": (b"", INTERIM),
    "header lines": (HEAD, b"X-Noise: 1\r\n"),
    "a header line": (HEAD + b"X-Noise: ", b"x"),
    "100 bytes of a header line": (HEAD + b"X-Noise: ", b"x" * 100),
    "a status line": (b"HTTP/1.1 200 ", b"x"),
    "trailer lines": (CHUNKED + LAST_CHUNK, b"X-Noise: 1\r\n"),
    "a trailer line": (CHUNKED + LAST_CHUNK + b"X-Noise: ", b"x"),
    "a chunk size": (CHUNKED, b"0"),
    "chunks of 4 bytes within an event": (CHUNKED + b"6\r\ndata: \r\n", b"4\r\nxxxx\r\n"),
    "4 bytes of an event": (CHUNKED + b"6\r\ndata: \r\n", b"4\r\nxxxx\r\n"),
    "bytes of a body without a length": (NO_LENGTH, b"x"),
}


def chunked(data, size):
    parts = [data[n : n + size] for n in range(0, len(data), size)]
    return b"".join(b"%x\r\n%s\r\n" % (len(one), one) for one in parts) + LAST_CHUNK + b"\r\n"


def whole(answer):
    """Return a whole answer, and whether the connection ends behind it."""
    plain = HEAD + b"Content-Length: 5\r\n\r\n" + BODY
    named = {
        "an interim response before the answer": INTERIM + plain,
        "three interim responses before the answer": 3 * INTERIM + plain,
        "a trailer behind the last chunk": (
            CHUNKED + b"5\r\nhello\r\n" + LAST_CHUNK + b"X-Sum: 1\r\n\r\n"
        ),
    }
    if answer in named:
        return named[answer], False
    number, _, form = answer.partition(" bytes ")
    data = b"x" * int(number)
    forms = {
        "with a length": (HEAD + b"Content-Length: %d\r\n\r\n" % len(data) + data, False),
        "without a length": (NO_LENGTH + data, True),
        "in chunks of 1000": (CHUNKED + chunked(data, 1_000), False),
    }
    return forms[form]


def serve(context, send):
    def handle(connection, address):
        connection.recv(65_536)
        try:
            send(connection)
        except OSError:
            # The caller has closed.
            return

    make_upstream(context, listen(context, handle))


@given("a backend server that sends a whole answer, {answer}")
@given("a store that sends a whole answer, {answer}")
def backend_whole(context, answer):
    data, ends = whole(answer)

    def send(connection):
        connection.sendall(data)
        if not ends:
            gevent.sleep(5.0)

    serve(context, send)


@given("a backend server that sends {bytes_} without end")
@given("a store that sends {bytes_} without end")
@given("a server of a stage that sends {bytes_} without end")
def backend_endless(context, bytes_):
    first, then_ = ENDLESS[bytes_]

    def send(connection):
        connection.sendall(first)
        while True:
            connection.sendall(then_ * (SENT_AT_ONCE_BYTES // len(then_)))

    serve(context, send)


@given("a backend server that sends {bytes_} each {ms:d} ms")
@given("a store that sends {bytes_} each {ms:d} ms")
def backend_slow(context, bytes_, ms):
    first, then_ = ENDLESS[bytes_]

    def send(connection):
        connection.sendall(first)
        while True:
            connection.sendall(then_)
            gevent.sleep(ms / 1000.0)

    serve(context, send)


@when("the stage is called with a deadline of {ms:d} ms, {form}")
def call_stage(context, ms, form):
    clock = context.upstream.clock
    backend = HttpBackend(clock)
    context.stack.callback(backend.close)
    stage = Stage("encode", "encode", "", "", (), True, form == "for tokens", 0.0)
    call = StageCall("r1", "a1", stage, b"{}", clock.now() + ms)
    context.error = None
    watch_turns(context)
    sent_at = clock.now()
    try:
        with gevent.Timeout(GIVEN_UP_S):
            if form == "for tokens":
                list(backend.stream(context.server, call))
            else:
                backend.run(context.server, call)
    except (MountladderError, gevent.Timeout) as error:
        context.error = error
    context.took_ms = clock.now() - sent_at


@when("it is read with a limit of {ms:d} ms")
def read_store(context, ms):
    clock = context.upstream.clock
    client = HttpClient(f"http://{context.server.address}", clock)
    context.stack.callback(client.close)
    context.body = context.error = None
    watch_turns(context)
    sent_at = clock.now()
    try:
        with gevent.Timeout(GIVEN_UP_S):
            context.body = client.read("/rows", answer_ms=float(ms)).data
    except (MountladderError, gevent.Timeout) as error:
        context.error = error
    context.took_ms = clock.now() - sent_at


@then("that fails with code {code:d} within {ms:d} ms")
def read_fails(context, code, ms):
    assert isinstance(context.error, MountladderError), context.error
    assert context.error.code.number == code, context.error
    assert context.took_ms <= ms, context.took_ms


@then("{number:d} bytes are read")
def bytes_read(context, number):
    assert context.error is None and len(context.body) == number, context.error


def watch_turns(context):
    """Measure how long other tasks wait for their turn, in milliseconds of processor time."""
    context.waited_ms = 0.0

    def take_turns():
        while True:
            began = time.process_time()
            gevent.sleep(0)
            context.waited_ms = max(context.waited_ms, 1000.0 * (time.process_time() - began))

    context.stack.callback(gevent.spawn(take_turns).kill)


@when("a request with a limit of {ms:d} ms is sent to it")
def sent_with_limit(context, ms):
    clock = context.upstream.clock
    context.body = context.code = None
    watch_turns(context)
    sent_at = clock.now()
    try:
        with gevent.Timeout(GIVEN_UP_S):
            answer = context.upstream.open(context.server, make_call(context, "r1"), float(ms))
            context.body = read_whole(answer, sent_at + ms, clock)
    except StageError as error:
        context.code = error.code.number
    except gevent.Timeout:
        context.code = "none"
    context.took_ms = clock.now() - sent_at


@when("a call with pieces and a limit of {ms:d} ms is sent to it")
def sent_pieces(context, ms):
    clock = context.upstream.clock
    piece = Piece("r1", 0, 0, "key", (), clock.now() + ms)
    sent_at = clock.now()
    context.code = None
    # Called with each growth of the bytes that are held.
    account, context.most_held = context.upstream.account, 0
    account.notify_above = 0

    def held_more():
        context.most_held = max(context.most_held, account.held)

    account.on_above = held_more
    try:
        context.upstream.run_pieces(context.server, [piece], float(ms), lambda *_: None)
    except StageError as error:
        context.code = error.code.number
    context.took_ms = clock.now() - sent_at


@then("at most {kb:d} KB were held for it")
def held_at_most(context, kb):
    assert 0 < context.most_held <= kb * 1000, context.most_held


def read_whole(answer, until, clock):
    """Read an answer to its end, and split it into events if it has any; return its body."""
    splitter, parts = EventSplitter(), []
    while data := answer.read_some(until - clock.now()):
        parts.append(data)
        if parts[0].startswith(b"data"):
            try:
                splitter.feed(data)
            except ValueError as error:
                answer.close()
                raise StageError(str(error), Code.BAD_ANSWER) from error
    return b"".join(parts)


@then("it ends with a body of {number:d} bytes")
def whole_body(context, number):
    assert context.code is None and len(context.body) == number, (context.code, context.body)


@then("it ends with code {code:d} within {ms:d} ms")
def ends_with_code(context, code, ms):
    assert context.code == code and context.took_ms <= ms, (context.code, context.took_ms)


@then("other tasks never waited for it for more than {ms:d} ms of processor time")
def tasks_had_turns(context, ms):
    assert context.waited_ms <= ms, context.waited_ms


@given("an event of {number:d} bytes that comes in pieces of {size:d} bytes")
def long_event(context, number, size):
    event = b"data: " + b"x" * number + EVENT_END
    context.pieces = [event[n : n + size] for n in range(0, len(event), size)]


@when("the stream is split into events")
def split_stream(context):
    context.splitter, context.complete, context.left = EventSplitter(), [], []
    for piece in context.pieces:
        context.complete.append(context.splitter.feed(piece))
        context.left.append(len(context.splitter.incomplete) - context.splitter.searched)


@then("each search began where the one before had ended")
def searched_once(context):
    # The end of an event has two bytes, of which one may come with the next piece.
    assert max(context.left) < len(EVENT_END), max(context.left)


@then("the event is given out whole once it ends")
def given_out(context):
    *before, last = context.complete
    assert not any(before) and last == b"".join(context.pieces)
