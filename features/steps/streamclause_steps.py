# streamclause_steps.py -- Steps about streams that are whole, or visibly broken off
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about streams that are whole, in order and of one run, or visibly broken off."""

import os
import re
import signal
import subprocess
import sys
from dataclasses import replace
from pathlib import Path

import gevent
from behave import given, then, use_step_matcher, when
from endlessanswer_steps import CHUNKED, HEAD, LAST_CHUNK, NO_LENGTH
from endlessanswer_steps import serve as serve_connection
from forward_steps import events
from forwardbasics import PATHS, request, serve
from gevent import socket
from platform_steps import listen, make_call, make_upstream, receive_request

from mountladder.errors import StageError
from mountladder.forwarding.eventsequence import EventSequence

FEATURES = Path(__file__).parents[1]
NO_LINGER = b"\1\0\0\0\0\0\0\0"
VERSION_LINE = b"mountladder-weight-versions: 2\n"
BEFORE_RESET_S = 0.05
LATE_S = 0.02
LIMIT_MS = 2_000.0
FIRST_RUN = b"1"


def encode_event(text, run=FIRST_RUN):
    """Return an event as it is written in the scenarios, made by a run."""
    if text in {":", "r"}:
        return {":": b": still there\n\n", "r": b"retry: 1000\n\n"}[text]
    data = b"data: " + run + b"\n\n"
    if text == ".":
        return data
    if text == "e":
        return b"id:\n" + data
    line = VERSION_LINE if text.startswith("v") else b""
    return line + b"id: " + text.removeprefix("v").encode() + b"\n" + data


def encode_events(text, run=FIRST_RUN):
    return [encode_event(one, run) for one in text.split(",") if one]


def encode_runs(text):
    """Return the events of each run."""
    return [encode_events(one, b"%d" % n) for n, one in enumerate(text.split("/"), 1)]


use_step_matcher("re")


@given(r"the servers send (?P<sent>\S*), (?P<how>each broken off but the last|whole)")
def servers_send(context, sent, how):
    send_runs(context, encode_runs(sent), how.startswith("each"), lambda number: False, False)


@given(
    r"the servers send (?P<sent>\S*), without length or chunks"
    r"(?P<crash>, and the first one crashes at its end)?"
)
def servers_send_unframed(context, sent, crash):
    send_runs(context, encode_runs(sent), False, lambda number: True, bool(crash))


@given(r"the servers send (?P<sent>\S*), the first one breaks off, others give no length or chunks")
def servers_send_unframed_rest(context, sent):
    send_runs(context, encode_runs(sent), True, lambda number: number > 1, False)


@then(r"the caller gets (?P<got>\S*), and the answer is (?P<end>complete|broken off|refused)")
def caller_gets(context, got, end):
    _, body, code, how, _ = context.ends["r"]
    expected = b"".join(event for run in encode_runs(got) for event in run)
    assert body == expected, (body, expected, code)
    found = "complete" if not code else "broken off" if how == "broken" else "refused"
    assert found == end, context.ends["r"]


use_step_matcher("parse")


def send_runs(context, runs, breaks, ends_with_connection, crashes):
    """Have the servers that are sent the request in turn send the events of a run each.

    Args:
        context: The scenario's context.
        runs: The events of each run; servers behind the last one send none, and break off.
        breaks: Whether the connection breaks behind each run but the last one.
        ends_with_connection: Returns whether the answer of the server with a number, from 1 on, has
            neither a length nor chunks.
        crashes: Whether the first server crashes behind its last event.
    """
    upstream = context.fleet.upstream
    plain_open = upstream.open
    left = list(enumerate(runs, 1))

    def open_(server, call, limit_ms):
        """Send the events of the next run."""
        last_id = call.last_event_id if call.last_event_id.isdigit() else ""
        answer = plain_open(server, replace(call, last_event_id=last_id), limit_ms)
        number, answer.parts = left.pop(0) if left else (0, [])
        answer.parts = list(answer.parts)
        answer.cut = not number or (breaks and number < len(runs))
        answer.ends_with_connection = ends_with_connection(number)
        if crashes and number == 1:
            # An answer of a server that has crashed ends before the next part.
            count = len(answer.parts)
            answer.parts.append(b"never sent")
            plain_read = answer.read_some
            reads = []

            def read_some(limit_ms):
                """Crash the server once its events are read."""
                if len(reads) == count:
                    upstream.crash(server)
                reads.append(limit_ms)
                return plain_read(limit_ms)

            answer.read_some = read_some
        return answer

    upstream.open = open_


@given("the first server begins to drain")
def first_drains(context):
    context.plans.append(lambda first: context.fleet.add_server(first, "llm", "a", draining=True))


@when("instance {name} gets a resumable request r after event {last}")
def get_resumed(context, name, last):
    def send():
        sent = request("r", PATHS["resumable"], context.clock.now(), last_event_id=last)
        serve(context, name, sent)

    context.run(send)


@when("a caller of a resumable request at {name} resumes it at another instance after event 2")
def resume_beside(context, name):
    def read():
        """Resume the stream once two events are there, and read both answers."""
        first = request("r", PATHS["resumable"], context.clock.now())
        other = next(one for one in context.fleet.instances if one != name)
        parts, tasks = [], []
        for part in context.fleet.send(name, first).body:
            parts.append(part)
            if len(parts) == 2:
                again = request("r2", PATHS["resumable"], context.clock.now())
                again = replace(again, last_event_id="2", resumes="r")
                tasks.append(gevent.spawn(serve, context, other, again))
        gevent.joinall(tasks)
        context.first_body = b"".join(parts)

    context.run(read)


@then("the first answer has events 1 to 6, and the second one 3 to 6")
def both_whole(context):
    assert context.first_body == events(1, 6), context.first_body
    assert context.ends["r2"][:3] == (200, events(3, 6), 0), context.ends


@given("the events {events_} with line ends {line_ends}")
def given_events(context, events_, line_ends):
    ends = {"LF": b"\n", "CRLF": b"\r\n"}
    context.events = [one.replace(b"\n", ends[line_ends]) for one in encode_events(events_)]


@when("they come in pieces of {size:d} bytes")
def come_in_pieces(context, size):
    data = b"".join(context.events)
    context.splitter, context.given = EventSequence(), []
    for start in range(0, len(data), size):
        context.given.append(context.splitter.feed(data[start : start + size]))


@then("each is given out whole, and the last id is {last}")
def given_out_whole(context, last):
    ends = {len(b"".join(context.events[:n])) for n in range(len(context.events) + 1)}
    size = 0
    for one in context.given:
        size += len(one)
        assert size in ends, (context.given, context.events)
    assert b"".join(context.given) == b"".join(context.events), context.given
    assert not context.splitter.incomplete, context.splitter.incomplete
    assert context.splitter.events == len(context.events), context.splitter.events
    assert context.splitter.last_id == last, context.splitter.last_id


EVENTS = encode_events("1,2,3")
CUT_EVENT = EVENTS[2][:5]


def chunk(data, pad=b""):
    return pad + b"%x\r\n%b\r\n" % (len(data), data)


# What a server sends of three events before it closes or resets the connection.
CUT_BODIES = {
    "in chunks, and closes between two events": CHUNKED + b"".join(map(chunk, EVENTS[:2])),
    "in chunks, and closes within an event": (
        CHUNKED + chunk(EVENTS[0]) + b"%x\r\n" % len(EVENTS[1]) + EVENTS[1][:5]
    ),
    "in chunks, and closes before the last chunk": CHUNKED + b"".join(map(chunk, EVENTS)),
    "in chunks, and closes within a chunk size": CHUNKED + chunk(EVENTS[0]) + b"1",
    "in chunks with padded sizes, and closes within a size": (
        CHUNKED + chunk(EVENTS[0], b"00") + b"00"
    ),
    "in chunks, and closes behind the digit of the last chunk": (
        CHUNKED + b"".join(map(chunk, EVENTS)) + b"0"
    ),
    "in chunks, and resets between two events": CHUNKED + b"".join(map(chunk, EVENTS[:2])),
    "with a length, and closes between two events": (
        HEAD + b"Content-Length: %d\r\n\r\n" % len(b"".join(EVENTS)) + b"".join(EVENTS[:2])
    ),
    "with a length, and closes within an event": (
        HEAD + b"Content-Length: %d\r\n\r\n" % len(b"".join(EVENTS)) + EVENTS[0] + CUT_EVENT
    ),
    "without a length, and resets between two events": NO_LENGTH + b"".join(EVENTS[:2]),
    "without a length, and resets within an event": NO_LENGTH + EVENTS[0] + CUT_EVENT,
}


@given("a backend server that sends the events 1,2,3 {how}")
def backend_cuts(context, how):
    def send(connection):
        connection.sendall(CUT_BODIES[how])
        if "resets" in how:
            gevent.sleep(BEFORE_RESET_S)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        connection.close()

    serve_connection(context, send)


@given("a backend server that sends an extra answer {when_} behind each stream")
def backend_extra(context, when_):
    last = LAST_CHUNK + b"\r\n"
    foreign = CHUNKED.replace(b": r1", b": zz") + chunk(encode_event("9")) + last

    def handle(connection, address):
        buffered = b""
        while True:
            received, buffered = receive_request(connection, buffered)
            if received is None:
                return
            id_ = re.search(rb"Mountladder-Request-Id: (\w+)", received[0]).group(1)
            head = CHUNKED.replace(b": r1", b": " + id_)
            body = b"".join(map(chunk, EVENTS)) + last
            extra = foreign if when_ == "at once" else b""
            connection.sendall(head + body + extra)
            if extra:
                continue
            gevent.sleep(LATE_S)
            try:
                connection.sendall(foreign)
            except OSError:
                # The instance has closed.
                return

    make_upstream(context, listen(context, handle))


@when("streams {first} and {second} are sent to it")
def send_streams(context, first, second):
    context.stream_ends = {}
    for id_ in (first, second):
        try:
            answer = context.upstream.open(context.server, make_call(context, id_), LIMIT_MS)
            context.stream_ends[id_] = answer.read(LIMIT_MS)
        except StageError as error:
            context.stream_ends[id_] = error.code.number


@then("stream {id_} is whole")
def stream_whole(context, id_):
    assert context.stream_ends[id_] == b"".join(EVENTS), context.stream_ends


@then("stream {id_} is whole, or ends with code {code:d}")
def stream_whole_or(context, id_, code):
    assert context.stream_ends[id_] in {b"".join(EVENTS), code}, context.stream_ends


@given("an instance in a process of its own that streams three events and then {then_}")
def instance_process(context, then_):
    command = [sys.executable, str(FEATURES / "streaminginstance.py"), then_]
    context.process = subprocess.Popen(command, stdout=subprocess.PIPE)
    context.stack.callback(context.process.stdout.close)
    context.stack.callback(context.process.wait)
    context.stack.callback(context.process.kill)
    context.address = ("127.0.0.1", int(context.process.stdout.readline()))


def send_to_process(context, version):
    connection = socket.create_connection(context.address)
    context.stack.callback(connection.close)
    connection.settimeout(5.0)
    connection.sendall(
        b"POST /a/b HTTP/%b\r\nHost: x.y\r\n" % version.encode()
        + b"Mountladder-Request-Id: r1\r\nContent-Length: 2\r\n\r\nhi"
    )
    return connection


def read_to_end(connection, received):
    """Return what comes, and how the caller sees the answer end."""
    try:
        while data := connection.recv(65_536):
            received += data
            if received.endswith(b"0\r\n\r\n"):
                break
    except ConnectionResetError:
        return received, "broken off"
    is_chunked = b"Transfer-Encoding: chunked" in received
    is_whole = not is_chunked or received.endswith(b"0\r\n\r\n")
    return received, "complete" if is_whole else "broken off"


@when("a caller of HTTP/{version} has them, and the process is killed")
def read_and_kill(context, version):
    connection = send_to_process(context, version)
    received = b""
    while EVENTS[2] not in received:
        data = connection.recv(65_536)
        assert data, received
        received += data
    os.kill(context.process.pid, signal.SIGKILL)
    context.process.wait()
    context.received, context.end = read_to_end(connection, received)


@when("a caller of HTTP/{version} reads the answer to its end")
def read_to_its_end(context, version):
    connection = send_to_process(context, version)
    context.received, context.end = read_to_end(connection, b"")


@then("it sees that the answer is {end}")
def answer_seen(context, end):
    assert context.end == end, (context.end, context.received)
    if end == "complete":
        assert all(one in context.received for one in EVENTS), context.received
