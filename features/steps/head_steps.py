# head_steps.py -- Steps that compare the parser of plain heads with the library's
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps that compare the parser of plain heads with the library's."""

from http.client import HTTPException
from io import BytesIO
from unittest import mock

from behave import then
from gevent.pywsgi import OldMessage
from hypothesis import given, settings
from hypothesis import strategies as st

from mountladder_entry import headparser
from mountladder_entry.headparser import MAX_LINE_BYTES, MAX_LINES, parse_headers

LIBRARY = headparser._library_parse
PLAIN = b"Host: feed\r\nContent-Type: application/json\r\nX-Value:  a b \r\nAccept:\r\n\r\n"
PIECES = [
    *(
        b"Host",
        b":",
        b": ",
        b" ",
        b"\t",
        b"\r\n",
        b"\n",
        b"\r",
        b"\r\n\r\n",
        b"From x",
        b"a: b\r\n",
    ),
    *(
        b"\x00",
        b"\x0b",
        b"\x1c",
        b"\x7f",
        b"\x85",
        b"\xff",
        b'"',
        b"(",
        b"--x",
        b"--x--",
        b"X-y: 1 ",
    ),
    *(b"Content-Type: multipart/mixed; boundary=x", b"content-type:\tMessage/delivery-status"),
    *(b"Content-Length: 1", b"Transfer-Encoding: chunked", b"Content-Type: text/plain"),
]
HEADS = st.lists(st.sampled_from(PIECES) | st.binary(max_size=3), max_size=14).map(b"".join)
ENDINGS = st.sampled_from([b"", b"\r\n\r\n", b"\n\n", b"\r\n\r\nbody", b"\r\n\r\na: b\r\n\r\n"])


def outcome(parse, data):
    """Return all that a parser finds in a head, with the number of bytes that it has read."""
    stream = BytesIO(data)
    try:
        message = parse(stream, OldMessage)
    except HTTPException as error:
        return type(error), str(error), stream.tell()
    return (found(message), message.status, stream.tell())


def found(message):
    parts = message.get_payload()
    payload = [found(part) for part in parts] if message.is_multipart() else parts
    defects = [type(defect) for defect in message.defects]
    texts = message.get_unixfrom(), message.preamble, message.epilogue
    return message.items(), defects, payload, texts, message.get_content_type()


def check(data):
    assert outcome(parse_headers, data) == outcome(LIBRARY, data), data


@then("any head has the headers, defects or error that the library's parser finds")
def step_any_head(context):
    @settings(max_examples=2_000, derandomize=True, deadline=None, database=None)
    @given(st.sampled_from([b"", b"a: b\r\n"]), HEADS, ENDINGS)
    def compare(start, head, ending):
        check(start + head + ending)

    compare()


@then("so have heads at the limits of their length")
def step_limits(context):
    for lines in range(MAX_LINES - 2, MAX_LINES + 2):
        check(b"a: b\r\n" * lines + b"\r\n")
        check(b"a: b\r\n" * lines)
    for size in range(MAX_LINE_BYTES - 8, MAX_LINE_BYTES + 2):
        check(b"a: " + b"b" * size + b"\r\n\r\n")


@then("the head of a request is parsed without the library's parser")
def step_plain(context):
    with mock.patch.object(headparser, "_library_parse", side_effect=AssertionError):
        message = parse_headers(BytesIO(PLAIN))
    assert message.items() == LIBRARY(BytesIO(PLAIN)).items()
