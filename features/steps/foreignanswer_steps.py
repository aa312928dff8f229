# foreignanswer_steps.py -- Steps about answers that belong to other calls
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about answers that belong to other calls."""

import gevent
from behave import given, then, when
from platform_steps import listen, make_upstream, receive_request, send
from rawanswers import LEAVING, NOT_EXECUTED, REFUSED, answer, backoff, limited

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
