# demandfleet_steps.py -- Steps about plans of demand in a fleet of instances
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about plans of demand in a fleet of instances."""

import math
from dataclasses import replace

import eliot
from behave import given, then, when
from demandload import EVENTS, PIECES, ask_all, cut_off_b, send_all
from forwardbasics import BATCH, find_coordinator

SECOND_MS = 1_000.0
WAVE_MS = 17_000.0
SETTLE_MS = 1_500.0
END_MS = 9_000.0
# The rate above this class is that of all pieces.
LAST_CLASS = 99


@given("the lines about plans are kept")
def keep_lines(context):
    context.lines, context.submitted = [], []
    kept = ("stage-lent", "demand-planned")

    def keep(message):
        if message.get("message_type") in kept:
            context.lines.append({**message, "at": context.clock.now()})

    eliot.add_destinations(keep)
    context.stack.callback(eliot.remove_destination, keep)
    # The first destination in a process is sent what was logged before, by other scenarios.
    context.lines.clear()


ASKED = "{a:g}, {b:g} and {c:g} of the capacity of a, b and c for {seconds:d} s"


@given("callers have asked for " + ASKED)
@when("callers ask for " + ASKED)
def ask(context, a, b, c, seconds):
    ask_all(context, (a, b, c), seconds)


@when(
    "callers of a and b ask for {mean:g} plus and minus {swing:g}"
    " in opposite waves for {seconds:d} s"
)
def waves(context, mean, swing, seconds):
    context.phase_at = context.clock.now()

    def wave(sign):
        return lambda ms: mean + sign * swing * math.sin(2 * math.pi * ms / WAVE_MS)

    send_all(context, {"a": wave(1), "b": wave(-1)}, seconds)


@when("{event}, and callers ask for {a:g}, {b:g} and {c:g} for {seconds:d} s")
def ask_after(context, event, a, b, c, seconds):
    EVENTS[event](context)
    ask_all(context, (a, b, c), seconds)


@when("callers ask for {a:g}, {b:g} and {c:g} for {seconds:d} s, and after {ms:d} ms b is cut off")
def cut_during(context, a, b, c, seconds, ms):
    context.clock.call_later(float(ms), lambda: cut_off_b(context))
    ask_all(context, (a, b, c), seconds)


@when(
    "callers whose stages have large inputs in a ask for {load:g} of its capacity for {seconds:d} s"
)
def ask_large(context, load, seconds):
    context.phase_at = context.clock.now()
    send_all(context, {"a": lambda ms: load}, seconds, preferred="a")


@given("the instances of a do not reach each other")
def instances_cut(context):
    context.fleet.network.cut_instances.add(frozenset({"a-1", "a-2"}))
    context.run(context.clock.sleep, SETTLE_MS)


def switch(context, plans, ms):
    """Set the setting, as an operator does with a reload, and wait."""
    for one in context.fleet.instances.values():
        one.settings = replace(one.settings, plan_demand=plans)
    context.run(context.clock.sleep, ms)


@given("every instance has plan_demand switched {state}")
def switched(context, state):
    switch(context, state == "on", SETTLE_MS)


@given("plans were switched off for {ms:d} ms")
def switched_off_for(context, ms):
    switch(context, False, float(ms))
    switch(context, True, 0.0)


@when("b is cut off, and plans of a leave it out within {ms:d} ms")
def left_out(context, ms):
    plans = find_coordinator(context, "enc", "a").dispatch.stage_lending.plans
    shares = plans.services["enc"].plan.shares
    assert "b" in shares, shares
    cut_off_b(context)
    until = context.clock.now() + ms
    while "b" in plans.services["enc"].plan.shares and context.clock.now() < until:
        context.run(context.clock.sleep, 10.0)
    context.plans = plans
    assert set(plans.services["enc"].plan.shares) == {"c"}, plans.services["enc"].plan


@then("the last report of b was still valid then")
def still_valid(context):
    assert "b" in context.plans.reports.loads("enc", context.clock.now())


def lent(context, reason="plan", **fields):
    """Return the lines about lent stages of the last phase, with the time since its begin."""
    return [
        line
        for line in context.lines
        if line["message_type"] == "stage-lent"
        and line["reason"] == reason
        and line["at"] >= context.phase_at
        and all(line[name] == value for name, value in fields.items())
    ]


def by(context, lines, datacentre):
    """Return how long after the begin of the phase stages of a data centre's callers were lent."""
    return [one["at"] - context.phase_at for one in lines if one["request"].startswith(datacentre)]


@then("9 of 10 stages took at most {ms:d} ms")
def took(context, ms):
    context.run(context.clock.sleep, SETTLE_MS)
    times = sorted(one.took_ms for one in context.submitted)
    assert times[len(times) * 9 // 10] <= ms, times[len(times) * 9 // 10]


@then("at least {planned:d} stages were lent by the plan, and at most {backlog:d} on backlogs")
def lent_for(context, planned, backlog):
    found = len(lent(context)), len(lent(context, "backlog"))
    assert found[0] >= planned and found[1] <= backlog, found


@then("some of them were planned in each of data centres {names}")
def planned_in(context, names):
    assert all(by(context, lent(context), one) for one in names.split(", "))


@then("no stage was lent by the plan")
def none_lent(context):
    assert not lent(context), lent(context)


@then("no stage was lent by the plan or on backlogs")
def none_lent_at_all(context):
    found = [*lent(context), *lent(context, "backlog")]
    assert context.submitted and not found, found


@then("a stage was lent by the plan of {name} within {ms:d} ms")
def lent_within(context, name, ms):
    times = by(context, lent(context), name)
    assert times and min(times) <= ms, times


@then("no stage was lent by the plan of {name} from {ms:d} ms on")
def none_from(context, name, ms):
    times = by(context, lent(context), name)
    assert max(times, default=0.0) < ms, times


@then("no stage was lent by the plan of {name} up to {ms:d} ms")
def none_up_to(context, name, ms):
    times = by(context, lent(context), name)
    assert min(times, default=math.inf) > ms, times


@then("stages were lent by the plan to each of data centres {names}")
def lent_to_each(context, names):
    found = [one for one in context.lines if one.get("reason") == "plan"]
    assert {one["datacentre"] for one in found} >= set(names.split(", ")), len(found)


@then("no stage was lent by the plan to {name} from {ms:d} ms on")
def none_to(context, name, ms):
    times = [one["at"] - context.phase_at for one in lent(context, datacentre=name)]
    assert max(times, default=0.0) < ms, max(times)


@then("every stage was completed once")
def completed_once(context):
    context.run(context.clock.sleep, END_MS)
    wrong = [one for one in context.submitted if one.ends != 1 or one.failed]
    assert context.submitted and not wrong, len(wrong)


@then("some stages that were lent to b ended elsewhere")
def moved(context):
    cut_at = context.phase_at + 4_600.0
    ran = {}
    for call in context.fleet.upstream.piece_calls:
        for piece in call.pieces:
            ran.setdefault(piece.request, []).append(call.server)
    to_b = [one["request"] for one in lent(context, datacentre="b") if one["at"] > cut_at - 200.0]
    assert any("enc-b" not in ran[one][-1] for one in to_b), to_b


@then("the coordinator of a has measured each piece once")
def measured_once(context):
    coordinator = find_coordinator(context, "enc", "a")
    meter = coordinator.dispatch.stage_lending.plans.services["enc"].meter
    asked = PIECES * sum(one.datacentre == "a" for one in context.submitted)
    assert sum(pieces for _, pieces in meter.buckets) == asked, (meter.buckets, asked)


@then("the coordinators of b and c count a with about {load:g} of its capacity")
def counted_together(context, load):
    for name in "bc":
        coordinator = find_coordinator(context, "enc", name)
        reports = coordinator.dispatch.stage_lending.plans.reports
        found = reports.loads("enc", context.clock.now())["a"]
        assert abs(found.load / load - 1.0) < 0.1, found


@then("no stage was lent by the plan to where it would begin {ms:d} ms later")
def not_later(context, ms):
    late = [one for one in lent(context) if one["remote_wait_ms"] > one["local_wait_ms"] + ms + 1]
    assert lent(context) and not late, late


@then("the coordinator of a expects at most {load:g} of its capacity to arrive")
def expected_arrivals(context, load):
    batcher = find_coordinator(context, "enc", "a").dispatch.batcher("enc")
    per_ms = batcher.demand.rates.rate_above(LAST_CLASS)
    capacity_per_ms = len(context.servers["a"]) * BATCH.pieces / BATCH.expected_ms(BATCH.pieces)
    assert per_ms <= load * capacity_per_ms, per_ms / capacity_per_ms


def counted(context, name):
    """Return the sum of a counter over all instances."""
    return sum(one.metrics.counts[name] for one in context.fleet.instances.values())


@then("no report of demand was sent")
def no_reports(context):
    assert counted(context, "demand_reports") == 0


@then("each stage lent by the plan names its share, plan and the age of the report")
def lines_complete(context):
    found = lent(context)
    assert found
    for one in found:
        assert 0.0 < one["share"] <= 1.0 and one["plan"] > 0, one
        assert 0 <= one["report_age_ms"] <= 2_000, one


@then("changed plans were logged at most once a second, with the loads that they rest on")
def plans_logged(context):
    found = [one for one in context.lines if one["message_type"] == "demand-planned"]
    times = [one["at"] for one in found]
    assert found and all(y - x >= SECOND_MS for x, y in zip(times, times[1:], strict=False)), times
    for one in found:
        assert one["senders"] == ["a"] and set(one["demand_per_s"]) == {"b", "c"}, one
        assert all(0 <= age <= 2_000 for age in one["ages_ms"].values()), one


@then("the metrics count the pieces, the reports and the share that is lent")
def metrics_count(context):
    pieces = sum(one["pieces"] for one in lent(context))
    assert counted(context, "planned_pieces") == pieces > 0
    assert counted(context, "demand_reports") > 0
    shares = [one.metrics.gauges["planned_share"] for one in context.fleet.instances.values()]
    assert 0.2 < max(shares) < 0.4 and sorted(shares)[-2] == 0.0, shares
