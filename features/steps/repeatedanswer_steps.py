# repeatedanswer_steps.py -- Steps about a second answer within the body of the first
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about a second answer within the body of the first."""

import time

import gevent
from behave import given, then, when
from calleranswer import CallerAnswer
from earlyend_steps import EARNING_REQUESTS, call_loopback
from forwardbasics import PATHS
from loopbackinstance import ANSWER_HEAD, LoopbackInstance
from mountladder_platform.repeatedanswer import RepeatedAnswer
from requestmemory_steps import HEAD as LOOPBACK_HEAD
from streamclause_steps import encode_events

MS_PER_SECOND = 1000.0
ID_LINE = b"Mountladder-Request-Id: r1\r\n"
TEXT = b"some text\r\nand more"
EVENTS = b"".join(encode_events("1,2,3"))
EVENTS_WITHOUT_IDS = b"".join(encode_events(".,.,."))
PLAIN_BODY = b"the whole body"
BODIES = {
    "of plain text": PLAIN_BODY,
    "of events": EVENTS,
    "of events without ids": EVENTS_WITHOUT_IDS,
}
NO_LENGTH = b"Connection: close"


class TwiceAnsweringInstance(LoopbackInstance):
    """An instance on loopback, whose first server answers twice where that is asked for.

    Args:
        stack: Closes what was opened.
        body: The body of answers.
        pause_s: The time between the two answers.

    Attributes:
        is_repeating: Whether the first server of a request answers twice.
    """

    def __init__(self, stack, body, pause_s):
        super().__init__(stack, "")
        self.body = body
        self.pause_s = pause_s
        self.is_repeating = False

    def treat(self, connection, head):
        """Treat a request; see LoopbackInstance."""
        self.treated += 1
        answer = ANSWER_HEAD % (200, head[b"mountladder-request-id"], NO_LENGTH) + self.body
        connection.sendall(answer)
        if self.is_repeating and self.treated == 1:
            gevent.sleep(self.pause_s)
            connection.sendall(answer)
        return False


@given("an instance on loopback whose first server sends an answer {what} twice, {ms:d} ms apart")
def instance_answered_twice(context, what, ms):
    context.loopback = TwiceAnsweringInstance(context.stack, BODIES[what], ms / MS_PER_SECOND)


@when("a caller sends that instance a {kind} request")
def send_to_instance(context, kind):
    # A second attempt draws on what earlier requests have earned.
    for _ in range(EARNING_REQUESTS):
        call_loopback(context, kind)
    context.loopback.treated, context.loopback.is_repeating = 0, True
    with context.loopback.connect() as connection:
        head = LOOPBACK_HEAD % (PATHS[kind].encode(), 0)
        connection.sendall(head.replace(b"\r\n", b"\r\nConnection: close\r\n", 1))
        context.received = CallerAnswer(connection)


@then("that caller gets {outcome}, after {servers:d} of its servers had it")
def caller_got(context, outcome, servers):
    received, body = context.received, context.loopback.body
    if outcome == "status 502":
        assert received.status == 502, vars(received)
        assert b"mountladder-server-stamp" not in received.head, vars(received)
    elif outcome == "the whole body":
        assert received.body == body and received.claim != "broken", vars(received)
    else:
        assert body.startswith(received.body) and received.claim == "broken", vars(received)
    assert context.loopback.treated == servers, context.loopback.treated


def repeated_head(version=b"HTTP/1.1", status=b"200 X", first=b"", id_line=ID_LINE):
    return version + b" " + status + b"\r\n" + first + id_line + b"Content-Length: 2\r\n\r\n"


def make_body(name):
    """Return a body by its name."""
    named = {
        "nothing": b"",
        "text": TEXT,
        "events": EVENTS,
        "the beginnings of heads": b"HTTP/1.HTTP/1.1 20HTTP/1.1 200X\r\n"
        b"HTTP/1.1 200\r\nX: 1\r\n\r\nHTTP/1.1 200 X\r\nno header\r\nHTTP/1.1 ",
        "the head of an answer to zz": repeated_head(id_line=ID_LINE.replace(b"r1", b"zz")),
    }
    if name in named:
        return named[name]
    number, _, kind = name.partition(" ")
    parts = {
        "bytes without lines": b"x",
        "lines": b"some words: of a line\r\n",
        "bytes of versions": b"HTTP/1.",
        "bytes of statuses": b"HTTP/1.1 200 ",
        "bytes of headers": b"HTTP/1.1 200 X\r\n" + 100 * b"a:b\n",
    }
    part = parts[kind]
    return part * (int(number) if kind == "lines" else int(number) // len(part))


SECONDS = {
    "nothing": b"",
    "a second answer": repeated_head(),
    "a second answer of HTTP/1.0": repeated_head(version=b"HTTP/1.0"),
    "a second answer with status 404": repeated_head(status=b"404 Not Found"),
    "a second answer with line feeds only": repeated_head().replace(b"\r\n", b"\n"),
    "a second answer without a reason": repeated_head(status=b"200"),
    "a second answer with a name in capitals": repeated_head(id_line=ID_LINE.upper()).replace(
        b"R1", b"r1"
    ),
    "a second answer with 200 other headers": repeated_head(first=200 * b"X-Other: 1\r\n"),
    "an answer to zz": repeated_head(id_line=ID_LINE.replace(b"r1", b"zz")),
    "an answer to r11": repeated_head(id_line=ID_LINE.replace(b"r1", b"r11")),
    "the request": b"POST /a HTTP/1.1\r\nHost: x.y\r\n" + ID_LINE + b"\r\n",
    "the id without a status": ID_LINE,
    "the id behind an empty line": b"HTTP/1.1 200 X\r\n\r\n" + ID_LINE,
    "the id behind another line": b"HTTP/1.1 200 X\r\nno header\r\n" + ID_LINE,
}


@given("a body of {body} and behind it {second}")
def given_body(context, body, second):
    context.body, context.second = make_body(body), SECONDS[second]


@when("it is searched in pieces of {size:d} bytes for a second answer to r1")
def search(context, size):
    data = context.body + context.second
    repeated = RepeatedAnswer("r1")
    context.found = []
    started = time.process_time()
    for start in range(0, len(data), size):
        if repeated.feed(data[start : start + size]):
            context.found.append(start + size)
    context.took_ms = (time.process_time() - started) * MS_PER_SECOND


@then("a second answer was found {where}")
def found_where(context, where):
    size = len(context.body) + len(context.second)
    if where == "nowhere":
        assert not context.found, context.found
    elif where == "in the last piece":
        assert context.found and context.found[0] >= size, context.found
    else:
        assert context.found and context.found[0] < size, (context.found, size)


@then("that took at most {ms:d} ms of processor time")
def took_at_most(context, ms):
    assert not context.found
    assert context.took_ms <= ms, context.took_ms
