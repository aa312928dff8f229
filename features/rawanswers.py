# rawanswers.py -- Raw HTTP answers of backend servers, valid and malformed
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Raw HTTP answers of backend servers, valid and malformed."""

NO_ANSWER = object()
CLOSED = object()
RESET = "reset"
REPEATED_LATER = "later"
HEAD = b"Mountladder-Request-Id: @ID\r\nMountladder-Server-Stamp: s\r\n"
NOT_EXECUTED = b"Mountladder-Not-Executed: 1\r\n"
ECHOED = b"Mountladder-Request-Id: @ID\r\n"
REFUSED = ECHOED + NOT_EXECUTED


def answer(status, body=b"", head=HEAD, length=True):
    lines = b"HTTP/1.1 %d X\r\n" % status + head
    if length:
        lines += b"Content-Length: %d\r\n" % len(body)
    return lines + b"\r\n" + body


def results(*items):
    return answer(200, items_body(*items))


def items_body(*items):
    return b'{"items": [%b]}' % b", ".join(items)


def fragile(per_s):
    return b"Server-Brittle: " + per_s + b"\r\n"


def limited(per_s):
    return b"Server-Limit: %b\r\n" % per_s


def backoff(seconds, mark=REFUSED):
    return mark + b"Retry-After: %b\r\n" % seconds


def loaded(load):
    return b"Mountladder-Server-Load: %b\r\n" % load


LEAVING = b"Server-Leaving: 1\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n"
CHUNKS = b"2\r\nhe\r\n3\r\nllo\r\n"
OTHER_ID = b"Mountladder-Request-Id: zz\r\n"
ITEMS = (b'{"handle": "10.0.0.1:1/a"}', b'{"reason": "gone"}', b'{"reason": "room"}')

RESULTS = items_body(*ITEMS)

# Answers by name: (bytes, end). After the bytes the server keeps the connection (end False), closes
# it (True), resets it (RESET) or sends the bytes again 20 ms later (REPEATED_LATER). With NO_ANSWER
# it sends nothing for 2 s, then closes; with CLOSED it closes at once. @ID is replaced by the id of
# the request.
ANSWERS = {
    "whole": (answer(200, b"hello"), False),
    "whole and closing": (answer(200, b"hello", HEAD + b"Connection: close\r\n"), True),
    "cold for 1250 ms": (answer(200, b"", b"Mountladder-Cold-Ms: 1250\r\n"), False),
    "not cold": (answer(200, b"", b""), False),
    "failing": (answer(503, b"", b"Mountladder-Cold-Ms: 1250\r\n"), False),
    "a report with start 1700000000123": (
        answer(200, b'{"stage": "both", "born": 1700000000123, "x": {"born": 1}}', b""),
        False,
    ),
    "a report without a start": (answer(200, b'{"stage": "both", "x": {"born": 1}}', b""), False),
    "a report with start true": (answer(200, b'{"born": true}', b""), False),
    "a report with start 0": (answer(200, b'{"born": 0}', b""), False),
    "a report with start 1.5": (answer(200, b'{"born": 1.5}', b""), False),
    "a report that is a list": (answer(200, b'["born"]', b""), False),
    "a report that is not JSON": (answer(200, b'{"born": 17\xff', b""), False),
    "a report with status 503": (answer(503, b'{"born": 1700000000123}', b""), False),
    "chunked": (answer(200, CHUNKS + b"0\r\n\r\n", CHUNKED, False), False),
    "no length": (answer(200, b"hello", length=False), True),
    "server error": (answer(500, b"broken"), False),
    "another id": (answer(200, b"hello", OTHER_ID), False),
    "no id": (answer(200, b"hello", b""), False),
    "full, another id": (answer(503, b"", OTHER_ID + NOT_EXECUTED), False),
    "full, no id": (answer(503, b"", NOT_EXECUTED), False),
    "full for a while, another id": (
        answer(503, b"", backoff(b"3", OTHER_ID + NOT_EXECUTED)),
        False,
    ),
    "full for a while, no id": (answer(503, b"", backoff(b"3", NOT_EXECUTED)), False),
    "limited, full, another id": (
        answer(503, b"", OTHER_ID + NOT_EXECUTED + limited(b"1")),
        False,
    ),
    "leaving, full, no id": (answer(503, b"", NOT_EXECUTED + LEAVING), False),
    "replaced, another id": (answer(421, b"", OTHER_ID), False),
    "replaced, no id": (answer(421, b"", b""), False),
    "inputs gone, another id": (answer(409, b"", OTHER_ID + NOT_EXECUTED), False),
    "400 not run, no id": (answer(400, b"", NOT_EXECUTED), False),
    "server error, another id": (answer(500, b"broken", OTHER_ID), False),
    "full, not run": (answer(503, b"", REFUSED), False),
    "leaving, not run": (answer(503, b"", REFUSED + b"Connection: close\r\n"), True),
    "replaced": (answer(421, b"", ECHOED), False),
    "inputs gone, not run": (answer(409, b"", REFUSED), False),
    "503 without Not-Executed": (answer(503, b"x"), False),
    "429 without Not-Executed": (answer(429, b"x"), False),
    "408 without Not-Executed": (answer(408, b"x"), False),
    "encoded": (answer(200, b"hello", HEAD + b"Content-Encoding: gzip\r\n"), False),
    "shorter than its length": (answer(200, b"hello").replace(b": 5", b": 9"), True),
    "chunks cut": (answer(200, CHUNKS + b"9\r\nab", CHUNKED, False), True),
    "garbage": (b"\0\1\2\3 not an answer\r\n\r\n", True),
    "closed": CLOSED,
    "reset without length": (answer(200, b"hello", length=False), RESET),
    "silence": NO_ANSWER,
    "extra bytes at once": (answer(200, b"hello") + answer(200, b"extra"), False),
    "extra bytes later": (answer(200, b"hello"), REPEATED_LATER),
    "results": (results(*ITEMS), False),
    "too few results": (results(*ITEMS[:2]), False),
    "no results": (answer(200, b"{}"), False),
    "fragile": (answer(200, b"hello", HEAD + fragile(b"4")), False),
    "fragile, full": (answer(503, b"", REFUSED + fragile(b"0")), False),
    "fragile results": (answer(200, RESULTS, fragile(b"2.5")), False),
    "fragile results full": (answer(503, b"", NOT_EXECUTED + fragile(b"7")), False),
    "fragile, replaced": (answer(421, b"", ECHOED + fragile(b"1")), False),
    "fragile, another id": (answer(200, b"x", OTHER_ID + fragile(b"1")), False),
    "fragile is a word": (answer(200, b"hello", HEAD + fragile(b"few")), False),
    "limited": (answer(200, b"hello", HEAD + limited(b"1.5")), False),
    "limited, server error": (answer(500, b"broken", HEAD + limited(b"2")), False),
    "limited, full": (answer(503, b"", REFUSED + limited(b"0.3")), False),
    "limited results": (answer(200, RESULTS, limited(b"4")), False),
    "limited results full": (answer(503, b"", NOT_EXECUTED + limited(b"0.5")), False),
    "limited, replaced": (answer(421, b"", ECHOED + limited(b"1")), False),
    "limited, another id": (answer(200, b"x", OTHER_ID + limited(b"1")), False),
    "limit is a word": (answer(200, b"hello", HEAD + limited(b"few")), False),
    "limit below zero": (answer(200, b"hello", HEAD + limited(b"-1")), False),
    "limit is nan": (answer(200, b"hello", HEAD + limited(b"nan")), False),
    "results full": (answer(503, b"", NOT_EXECUTED), False),
    "leaving": (answer(200, b"hello", HEAD + LEAVING), False),
    "leaving, server error": (answer(500, b"broken", HEAD + LEAVING), False),
    "leaving, full": (answer(503, b"", REFUSED + LEAVING), False),
    "leaving, 503 without Not-Executed": (answer(503, b"x", HEAD + LEAVING), False),
    "leaving stream": (answer(200, CHUNKS + b"0\r\n\r\n", CHUNKED + LEAVING, False), False),
    "leaving results": (answer(200, RESULTS, LEAVING), False),
    "leaving results full": (answer(503, b"", NOT_EXECUTED + LEAVING), False),
    "leaving, replaced": (answer(421, b"", ECHOED + LEAVING), False),
    "leaving, another id": (answer(200, b"x", OTHER_ID + LEAVING), False),
    "leaving header is a word": (answer(200, b"hello", HEAD + b"Server-Leaving: soon\r\n"), False),
    "back-off of 3 s": (answer(503, b"", backoff(b"3")), False),
    "back-off of 0.25 s": (answer(503, b"", backoff(b"0.25")), False),
    "back-off with 429": (answer(429, b"", backoff(b"2")), False),
    "back-off without Not-Executed": (answer(503, b"x", backoff(b"2", HEAD)), False),
    "back-off of results": (answer(503, b"", backoff(b"1.5", NOT_EXECUTED)), False),
    "back-off of a day": (answer(503, b"", backoff(b"86400")), False),
    "back-off of 0 s": (answer(503, b"", backoff(b"0")), False),
    "back-off of less than 0 s": (answer(503, b"", backoff(b"-3")), False),
    "back-off of nan s": (answer(503, b"", backoff(b"nan")), False),
    "back-off of inf s": (answer(503, b"", backoff(b"inf")), False),
    "back-off until a date": (answer(503, b"", backoff(b"Thu, 03 Dec 2026 10:00:00 GMT")), False),
    "back-off with status 200": (answer(200, b"hello", backoff(b"3", HEAD)), False),
    "load of 4 values": (answer(200, b"hello", HEAD + loaded(b"3,0,8,250")), False),
    "load of 4 values, full": (answer(503, b"", REFUSED + loaded(b"8,2,8, 70")), False),
    "load of 4 values, results": (answer(200, RESULTS, loaded(b"1,0,1,170.5")), False),
    "load of 4 values, replaced": (answer(421, b"", ECHOED + loaded(b"3,0,8,250")), False),
    "load of 3 values": (answer(200, b"hello", HEAD + loaded(b"3,0,8")), False),
    "load with speed 0": (answer(200, b"hello", HEAD + loaded(b"3,0,8,0")), False),
    "load with a word": (answer(200, b"hello", HEAD + loaded(b"3,0,8,fast")), False),
    "load with nan": (answer(200, b"hello", HEAD + loaded(b"3,0,8,nan")), False),
    "load below zero": (answer(200, b"hello", HEAD + loaded(b"3,0,8,-20")), False),
    "load ending in a comma": (answer(200, b"hello", HEAD + loaded(b"3,0,8,")), False),
    "back-off, replaced": (answer(421, b"", backoff(b"3", ECHOED)), False),
    "back-off, another id": (answer(503, b"x", backoff(b"3", OTHER_ID)), False),
}
