# foreignanswer_steps.py -- Steps about answers that belong to other calls
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about answers that belong to other calls."""

import json
import re

import gevent
from behave import given, then, when
from platform_steps import (
    TIMEOUT_MS,
    listen,
    make_upstream,
    receive_request,
    reported_notices,
    send,
)
from rawanswers import LEAVING, NOT_EXECUTED, REFUSED, answer, backoff, limited, results

from mountladder.errors import StageError
from mountladder.forwarding.piece import Piece
from mountladder.notices.ratelimit import RateLimit

WHOLE = answer(200, b"hello")
# How long a server works on a request, in seconds.
WORK_S = 0.02

EXTRA_ANSWERS = {
    "a late refusal": answer(503, b"", REFUSED + LEAVING),
    "a late refusal with a back-off": answer(503, b"", backoff(b"3")),
    "a late refusal with status 421": answer(421, b"", REFUSED),
    "a late refusal for missing inputs": answer(409, b"", REFUSED + LEAVING),
    "a late refusal without an id": answer(503, b"", NOT_EXECUTED + LEAVING),
    "a late answer with a limit": WHOLE.replace(b"\r\n", b"\r\n" + limited(b"1"), 1),
    "a late answer with status 500": answer(500, b"broken").replace(b"\r\n", b"\r\n" + LEAVING, 1),
}


def request_id(head):
    return next(
        line.partition(b": ")[2]
        for line in head.split(b"\r\n")
        if line.lower().startswith(b"mountladder-request-id")
    )


@given("a backend server that sends {extra} to the request before each of its answers")
def server_with_extra(context, extra):
    context.connections = 0

    def handle(connection, address):
        context.connections += 1
        earlier, buffered = None, b""
        while True:
            received, buffered = receive_request(connection, buffered)
            if received is None:
                return
            id_ = request_id(received[0])
            if earlier:
                connection.sendall(EXTRA_ANSWERS[extra].replace(b"@ID", earlier))
            gevent.sleep(WORK_S)
            connection.sendall(WHOLE.replace(b"@ID", id_))
            earlier = id_

    make_upstream(context, listen(context, handle))


@when("requests r1, r2 and r3 are sent to it one after the other")
def send_three(context):
    context.notices = {}
    for id_ in ("r1", "r2", "r3"):
        context.reported.clear()
        send(context, id_)
        context.notices[id_] = [notice for notices in context.reported for notice in notices]


@then("r1 and r3 are answered, and r2 ends with code {code:d} and may have run")
def second_may_have_run(context, code):
    first, second, third = context.call_outcomes
    assert first == third == (200, b"hello"), context.call_outcomes
    assert (second.code.number, second.dispatched) == (code, True), repr(second)


@then("they went over {number:d} connections")
def went_over(context, number):
    assert context.connections == number, context.connections


@then("the extra answer gave no notice")
def no_notice(context):
    assert context.notices["r1"] and context.notices["r3"]
    assert not context.notices["r2"], context.notices


# What a stage server answers to a call with one piece.
STAGE_ANSWERS = {
    "results": lambda made: results(b'{"handle": "%b"}' % made),
    "reasons only": lambda made: results(b'{"reason": "gone"}'),
    "a refusal": lambda made: answer(503, b"", NOT_EXECUTED),
    "an error": lambda made: answer(500, b"", b""),
    "a result too many": lambda made: results(b'{"handle": "%b"}' % made, b'{"handle": "x"}'),
    "an answer without items": lambda made: answer(200, b"{}", b""),
    "an answer that is a list": lambda made: answer(200, b"[]", b""),
}


def serve_calls(context, answers):
    """Start a server.

    Args:
        context: The scenario's context.
        answers: Returns what the server sends, from the head and body of a call and the number of
            calls before it on its connection.
    """
    context.connections = 0

    def handle(connection, address):
        context.connections += 1
        number, buffered = 0, b""
        while True:
            received, buffered = receive_request(connection, buffered)
            if received is None:
                return
            for data in answers(*received, number):
                connection.sendall(data)
                gevent.sleep(WORK_S)
            number += 1

    make_upstream(context, listen(context, handle))
    context.call_results = {}


def result_of(body):
    """Return the result that a stage server makes of the piece in a call."""
    (item,) = json.loads(body)["items"]
    return b"10.0.0.1:1/" + item["id"].encode()


@given("a stage server that repeats its last answer before each of its answers")
def repeating_stage_server(context):
    sent = []

    def answers(head, body, number):
        own = results(b'{"handle": "%b"}' % result_of(body))
        earlier = sent[-1:] if number else []
        sent.append(own)
        return [*earlier, own]

    serve_calls(context, answers)


@given("a stage server that answers with {kind}")
def stage_server(context, kind):
    serve_calls(context, lambda head, body, number: [STAGE_ANSWERS[kind](result_of(body))])


def send_piece(context, id_):
    context.reported.clear()
    piece = Piece(id_, 0, 0, "key", (), context.upstream.clock.now() + 900.0)
    report = context.reported.append
    try:
        (result,) = context.upstream.run_pieces(
            context.server, [piece], TIMEOUT_MS, lambda server, notices, sent_at: report(notices)
        )
        context.call_results[id_] = result.handle
    except StageError as error:
        context.call_results[id_] = error
    context.notices[id_] = [notice for notices in context.reported for notice in notices]


@when("pieces of {ids} are sent to it one after the other")
def send_pieces_in_turn(context, ids):
    context.notices = {}
    for id_ in re.findall(r"r\d", ids):
        send_piece(context, id_)


@when("{number:d} calls with pieces are sent to it")
def send_many_pieces(context, number):
    context.notices = {}
    for n in range(number):
        send_piece(context, f"r{n}")


@then("r1 and r3 have their own results, and r2 ends with code {code:d} and may have run")
def own_results(context, code):
    found = context.call_results
    assert (found["r1"], found["r3"]) == ("10.0.0.1:1/r1", "10.0.0.1:1/r3"), found
    assert (found["r2"].code.number, found["r2"].dispatched) == (code, True), found


@then("the repeated answer gave no notice")
def no_notice_of_results(context):
    assert context.notices["r1"] and context.notices["r3"]
    assert not context.notices["r2"], context.notices


SAID_OF_ITSELF = {
    b"GET /health ": answer(200, b"", b"Mountladder-Cold-Ms: 1250\r\n"),
    b"GET /mountladder/report ": answer(200, b'{"born": 1700000000123}', b""),
}


@given("a server that repeats its answer to a request before its next answer")
def server_with_repeated_answer(context):
    repeated = []

    def answers(head, body, number):
        said = [data for start, data in SAID_OF_ITSELF.items() if head.startswith(start)]
        if said:
            return [*(repeated if number else []), *said]
        own = answer(200, b'{"born": 17}').replace(b"@ID", request_id(head))
        repeated.append(own)
        return [own]

    serve_calls(context, answers)


@when("request r1 is sent to it, and its health is checked")
def request_and_health(context):
    send(context, "r1")
    context.said = context.upstream.cold_ms(context.server, "/health", TIMEOUT_MS)


@when("request r1 is sent to it, and it is asked when it started")
def request_and_report(context):
    send(context, "r1")
    context.said = context.upstream.started_at(context.server, TIMEOUT_MS)


@then("the server is said to be cold for {ms:d} ms")
def said_cold(context, ms):
    assert context.said == ms, context.said


@then("the server is said to have started at {start:d}")
def said_started(context, start):
    assert context.said == start, context.said


@given("a server that repeats its answer to a call that gives up results, without its limit")
def freeing_server(context):
    limit = [answer(200, b"{}", limited(b"2"))]
    unlimited = [answer(200, b"{}", b"")]
    serve_calls(context, lambda head, body, number: unlimited + limit if number else limit)


@when("results are given up there twice")
def free_twice(context):
    report = context.reported.append
    for handle in ("10.0.0.1:1/a", "10.0.0.1:1/b"):
        context.upstream.free(
            context.server, [handle], lambda server, notices, sent_at: report(notices)
        )


@then("its limit is not taken for lifted")
def not_lifted(context):
    limits = [notice.per_s for notice in reported_notices(context, RateLimit)]
    assert limits == [2.0] * len(limits) and limits, context.reported
