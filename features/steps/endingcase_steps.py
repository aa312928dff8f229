# endingcase_steps.py -- Steps about answers whose end is drawn from a seed
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about answers whose end is drawn from a seed."""

from behave import given, then, when
from calleranswer import CallerAnswer
from drawninstance import DrawnInstance
from earlyend_steps import EARNING_REQUESTS, call_loopback
from endingcase import PLAIN_KINDS, STREAM_KINDS, EndingCase
from forwardbasics import PATHS
from requestmemory_steps import HEAD

SEEDS_KEY, FIRST_KEY = "seeds", "first"
MAX_SHOWN = 5
SUCCESS = 200
# A refusal is no answer of a server.
STAMP = b"mountladder-server-stamp"
KINDS = {"plain requests": PLAIN_KINDS, "streams": STREAM_KINDS}


@given("an instance on loopback whose servers' answers end as drawn")
def ending_instance(context):
    context.loopback = DrawnInstance(context.stack)


@when("callers send it {requests} of {number:d} seeds")
def send_cases(context, requests, number):
    userdata = context.config.userdata
    first = userdata.getint(FIRST_KEY, 1)
    context.found = []
    for seed in range(first, first + userdata.getint(SEEDS_KEY, number)):
        case = EndingCase.draw(seed, KINDS[requests])
        # Further attempts draw on what other requests have earned.
        for _ in range(EARNING_REQUESTS):
            call_loopback(context, case.kind)
        context.found.append((seed, case, send_case(context, seed, case)))


def send_case(context, seed, case):
    """Send the request of a case, and return what its caller gets."""
    id_ = b"case-%d" % seed
    context.loopback.cases[id_] = case
    head = HEAD % (PATHS[case.kind].encode(), 0)
    head = head.replace(b"Request-Id: r\r\n", b"Request-Id: %b\r\nConnection: close\r\n" % id_)
    with context.loopback.connect() as connection:
        connection.sendall(head.replace(b"HTTP/1.1", b"HTTP/" + case.version))
        return CallerAnswer(connection)


@then("each gets the whole body, or sees that it is incomplete, or is told nothing of its length")
def none_looks_whole(context):
    attempts = context.loopback.attempts
    untreated = [seed for seed, *_ in context.found if b"case-%d" % seed not in attempts]
    assert not untreated, f"seeds {untreated} reached no server"
    wrong = [
        f"seed {seed}: {len(got.body)} bytes, claim: {got.claim}, {case}"
        for seed, case, got in context.found
        if not is_right(seed, case, got)
    ]
    count = f"{len(wrong)} of {len(context.found)} answers are wrong: "
    assert not wrong, count + "; ".join(wrong[:MAX_SHOWN])


def is_right(seed, case, got):
    """Return whether a caller may get this."""
    whole = case.body(b"case-%d" % seed)
    if STAMP not in got.head:
        return got.status != SUCCESS
    if got.claim == "broken":
        return whole.startswith(got.body)
    if got.body == whole:
        return True
    return case.may_seem_whole() and got.claim == "none" and whole.startswith(got.body)
