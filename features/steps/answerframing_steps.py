# answerframing_steps.py -- Steps about where an answer of a backend server ends
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about where an answer of a backend server ends."""

import itertools
import re
from dataclasses import replace

from behave import given, then, when
from earlyend_steps import CHUNKS, LIMIT_MS
from platform_steps import listen, make_call, make_upstream, receive_request

from mountladder.errors import StageError

HEAD = b"Mountladder-Request-Id: %b\r\nMountladder-Server-Stamp: s\r\n"
ID = re.compile(rb"Mountladder-Request-Id: (\w+)")
LENGTH = b"Content-Length: %b\r\n"
CODING = b"Transfer-Encoding: %b\r\n"
CHUNKED = CODING % b"chunked"
BODY = b"12345"
LAST_CHUNK = b"0\r\n\r\n"
CUT_BYTES = 3
# Lines of heads that are not written as a length or a coding; see framing_lines.
LINES = {
    "nothing": b"",
    "length 5 in blanks": b"Content-Length: \t5 \t\r\n",
    "an empty length": LENGTH % b"",
    "a folded length": LENGTH % b"5\r\n 0",
    "a length of 5000 digits": LENGTH % (b"0" * 4_999 + b"5"),
    "length 5 twice": 2 * (LENGTH % b"5"),
    "lengths 3 and 5": LENGTH % b"3" + LENGTH % b"5",
    "an empty coding": CODING % b"",
    "chunks": CHUNKED,
    "Chunks": CODING % b"Chunked",
    "chunks, gzip": CODING % b"chunked, gzip",
    "gzip, chunks": CODING % b"gzip, chunked",
    "chunks, chunks": CODING % b"chunked, chunked",
    "chunks twice": 2 * CHUNKED,
    "chunks and gzip": CHUNKED + CODING % b"gzip",
    "chunks and a blank": CODING % b"chunked ",
    "chunks and length 5": CHUNKED + LENGTH % b"5",
    "length 5 and gzip": LENGTH % b"5" + CODING % b"gzip",
    "length 5 that continues no line": b" " + LENGTH % b"5",
    "length 5 behind a carriage return": b"X-A: 1\r" + LENGTH % b"5",
    "a blank before the colon of length 5": b"Content-Length : 5\r\n",
}
# Lines that stand at the beginning of a head.
FIRST_LINES = {
    "a line without a colon": b"X-A\r\n",
    "a blank before a colon": b"X-A : 1\r\n",
    "a name that is not ASCII": b"X-\xe4: 1\r\n",
    "a line without a name": b": 1\r\n",
    "a carriage return in a value": b"X-A: 1\r2\r\n",
    "a continued line": b"X-A: 1\r\n 2\r\n",
    "an empty value": b"X-A:\r\n",
    "several parts without a limit": b"Content-Type: multipart/mixed\r\n",
}


def framing_lines(name):
    """Return the lines of a head that frame its body."""
    kind, _, value = name.partition(" ")
    forms = {"length": LENGTH, "coding": CODING}
    return LINES[name] if name in LINES else forms[kind] % value.encode("latin-1")


def make_head(name, id_):
    """Return the head of an answer by its name, which may begin with what is unusual in it."""
    version, status, first = b"HTTP/1.1", b"200", HEAD % id_
    prefix, _, rest = name.partition(", ")
    if prefix == "HTTP/1.0":
        version = prefix.encode()
    elif prefix.isdecimal():
        status = prefix.encode()
    elif prefix.startswith("status "):
        status = prefix.removeprefix("status ").encode()
    elif prefix in FIRST_LINES:
        first += FIRST_LINES[prefix]
    elif prefix != "line feeds only":
        rest = name
    if rest == "length 5 that continues no line":
        head = framing_lines(rest) + first
    else:
        head = first + framing_lines(rest)
    head = version + b" " + status + b" X\r\n" + head + b"\r\n"
    return head.replace(b"\r\n", b"\n") if prefix == "line feeds only" else head


def serve_heads(context, name, bodies, stays_open):
    """Answer requests with a head and the next of the bodies.

    Args:
        context: The scenario's context.
        name: The name of the head.
        bodies: The bodies.
        stays_open: Whether the connection is kept behind an answer.
    """
    context.connections = 0

    def handle(connection, address):
        context.connections += 1
        buffered = b""
        while True:
            received, buffered = receive_request(connection, buffered)
            if received is None:
                return
            head = make_head(name, ID.search(received[0]).group(1))
            connection.sendall(head + next(bodies))
            if not stays_open:
                return

    make_upstream(context, listen(context, handle))


@given('a backend server whose answers have the head "{name}"')
def server_of_heads(context, name):
    whole = CHUNKS + LAST_CHUNK if "chunk" in name.lower() else BODY
    cut = whole[: len(whole) - len(LAST_CHUNK)] if "chunk" in name.lower() else BODY[:CUT_BYTES]
    serve_heads(context, name, iter([whole, cut]), False)


@given('a backend server that keeps connections open, whose answers have the head "{name}"')
def open_server_of_heads(context, name):
    serve_heads(context, name, itertools.repeat(b""), True)


def read_body(context, method, limit_ms):
    """Send a request; return the body of its answer, or the error that it ended with."""
    call = make_call(context, "r1")
    call = replace(call, request=replace(call.request, method=method))
    try:
        answer = context.upstream.open(context.server, call, limit_ms)
        body = answer.read(limit_ms)
    except StageError as error:
        return error
    context.ends.append(answer.ends_with_connection)
    return body


@when("a request gets the whole body, and another one a part of it")
def get_whole_and_part(context):
    context.ends = []
    context.found = [read_body(context, "POST", LIMIT_MS) for _ in range(2)]


@when("two {method} requests are sent to it within {ms:d} ms each")
def send_two(context, method, ms):
    context.ends = []
    context.found = [read_body(context, method, ms) for _ in range(2)]


@then("the first gets {whole}, and the second {part}")
def gets_whole_and_part(context, whole, part):
    for found, expected in zip(context.found, (whole, part), strict=True):
        if expected.startswith("code "):
            assert isinstance(found, StageError), context.found
            assert found.dispatched, context.found
            found = f"code {found.code.number}"
        else:
            expected = expected.encode()
        assert found == expected, (found, context.found)


@then("both get no body, over {number:d} connection")
def get_no_body(context, number):
    assert context.found == [b"", b""], context.found
    assert context.connections == number, context.connections


@then("an answer that was read {ends} with its connection")
def ends_or_not(context, ends):
    assert all(one == (ends == "ends") for one in context.ends), context.ends
