# retrytime_steps.py -- Steps about the times at which refused callers return
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about the times at which refused callers return."""

from dataclasses import replace

from behave import given, then, when
from forwardbasics import route

from mountladder.admission.patience import patience_ms
from mountladder.admission.refusedrequest import RefusedRequest
from mountladder.admission.returnschedule import ReturnSchedule, return_rate
from mountladder.forwarding.routekind import RouteKind

REFUSED = RefusedRequest(1, {"enc": 4}, 1_500.0, 600.0, 600.0, 1.0, 2_000.0, 4_000.0, 10_000.0)
MS_PER_SECOND = 1_000.0


def numbers(text):
    return [float(one) for one in text.replace(" and ", ", ").split(", ")]


@given(
    "a refused request that waits {wait:g} ms, may take {patience:g} ms and has {allowed:g} ms left"
)
def refused_request(context, wait, patience, allowed):
    context.refused = replace(REFUSED, waiting_ms=wait, patience_ms=patience, allowed_ms=allowed)


@given("its route has a factor of {factor:g} and may take {limit:g} ms")
def route_factor(context, factor, limit):
    context.refused = replace(context.refused, factor=factor, limit_ms=limit)


@when("its return is scheduled")
def return_scheduled(context):
    context.found = ReturnSchedule().schedule(context.refused, {"enc": 1.0}, 0.0, 0.0)


@then("it returns after {after:g} ms, {outcome}")
def returns_after(context, after, outcome):
    found = context.found
    assert (round(found.after_ms), found.in_time) == (after, outcome == "in time"), found


@given("a service that can serve {rate:g} pieces of retries a second")
def service_rate(context, rate):
    context.rates = {"enc": rate / MS_PER_SECOND}
    context.schedule = ReturnSchedule()
    context.now = 0.0
    context.times = []


def refuse(context, rank, phase=0.0, returns=True):
    refused = replace(REFUSED, rank=rank)
    context.times.append(
        context.schedule.schedule(refused, context.rates, phase, context.now, returns)
    )


@when("requests of 4 pieces and ranks {ranks} are refused at once")
def refused_at_once(context, ranks):
    for rank in numbers(ranks):
        refuse(context, int(rank))


@when("{ms:g} ms later requests of 4 pieces and ranks {ranks} are refused at once")
def refused_later(context, ms, ranks):
    context.now += ms
    refused_at_once(context, ranks)


@when("requests of 4 pieces are refused at 4 instances with phases {phases}")
def refused_elsewhere(context, phases):
    for phase in numbers(phases):
        context.schedule = ReturnSchedule()
        refuse(context, 1, phase)


@when(
    "2 requests that wait {wait:g} ms with a factor of {factor:g} and have {left:g} ms left are"
    " refused"
)
def refused_with_factor(context, wait, factor, left):
    refused = replace(REFUSED, waiting_ms=wait, factor=factor, allowed_ms=left, limit_ms=1e5)
    refused = replace(refused, patience_ms=1e5)
    for _ in range(2):
        context.times.append(context.schedule.schedule(refused, context.rates, 0.0, 0.0))


@when("a retry of 4 pieces is refused again, and then a first attempt")
def refused_again(context):
    refuse(context, 1, returns=False)
    refuse(context, 1)


@then("they return after {times} ms")
def times_are(context, times):
    assert [round(one.after_ms) for one in context.times] == numbers(times), context.times


@then("the last {number:d} are hopeless")
def last_hopeless(context, number):
    in_time = [one.in_time for one in context.times]
    assert in_time == [True] * (len(in_time) - number) + [False] * number, in_time


@given("a service that makes {made:g} pieces a second, of which first attempts ask for {asked:g}")
def made_and_asked(context, made, asked):
    context.made, context.asked = made, asked


@when("{instances:d} instances share it")
def shared(context, instances):
    context.rate = return_rate(context.made, context.asked, instances)


@then("each can have {rate:g} pieces of retries a second")
def has_rate(context, rate):
    assert context.rate == rate, context.rate


@given(
    "a route of kind {kind} with a latency target of {target:g} ms and pauses of up to {gap:g} ms"
)
def route_of_kind(context, kind, target, gap):
    context.route = replace(
        route("r", "/r/", RouteKind(kind), "llm"),
        target_ms=target,
        gap_ms=gap,
        timeout_ms=20_000.0,
    )


@then("its callers wait for {ms:g} ms")
def callers_wait(context, ms):
    assert patience_ms(context.route) == ms, patience_ms(context.route)
