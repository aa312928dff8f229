# demandplan_steps.py -- Steps about the parts of a plan of demand, with plain objects
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about the parts of a plan of demand, with plain objects."""

from behave import given, then, when

from mountladder.demand.datacentreload import DatacentreLoad
from mountladder.demand.demandmeter import DemandMeter
from mountladder.demand.demandplan import DemandPlan
from mountladder.demand.reportschedule import REPORT_MS
from mountladder.demand.sharecounter import ShareCounter

SECOND_MS = 1_000.0
RECENT_PIECES = 20.0


@given(
    "callers ask for {first:d} pieces per second for {first_s:d} s,"
    " then {second:d} for {second_s:d} s"
)
def asked(context, first, first_s, second, second_s):
    context.meter, context.now = DemandMeter(0.0), 0.0
    assert not context.meter.is_complete(1_999.0) and context.meter.is_complete(2_000.0)
    for per_s, seconds in ((first, first_s), (second, second_s)):
        for _ in range(seconds * 100):
            context.meter.record(per_s // 100, context.now)
            context.now += 10.0


@then("a rate of {rate:d} and a trend of {trend:d} pieces per second are measured")
def measured(context, rate, trend):
    # Just before the end, so that the current bucket is full.
    now = context.now - 0.001
    found = context.meter.rate_per_s(now), context.meter.trend_per_s(now)
    assert abs(found[0] - rate) < 1 and abs(found[1] - trend) < 1, found
    assert len(context.meter.buckets) <= 60


def load(text, at=0.0):
    demand, capacity = text.split("/")
    return DatacentreLoad(float(demand), float(capacity), at)


@given("data centres a, b and c with demand and capacity {a}, {b} and {c}")
def loads(context, a, b, c):
    context.loads = {"a": load(a), "b": load(b), "c": load(c)}
    context.now, context.plan = 0.0, DemandPlan()


def revise(context, after_ms=REPORT_MS):
    """Make the next plan from loads that were all reported just now."""
    context.now += after_ms
    loads = {
        name: DatacentreLoad(one.demand_per_s, one.capacity_per_s, context.now)
        for name, one in context.loads.items()
    }
    context.plan = context.plan.revised("a", loads, context.now)


@given("plans for a have been made for {seconds:d} s")
@when("plans for a are made for {seconds:d} s")
def plans_made(context, seconds):
    for _ in range(round(seconds * SECOND_MS / REPORT_MS)):
        revise(context)


@then("its shares are {b:g} for b and {c:g} for c")
def shares_are(context, b, c):
    found = context.plan.shares
    for name, share in (("b", b), ("c", c)):
        assert abs(found.get(name, 0.0) - share) < 1e-6, found
    assert all(found.values()) and "a" not in found, found


def set_demand(context, demand):
    context.loads["a"] = DatacentreLoad(float(demand), 100.0, 0.0)


@when("its demand is {between:d} for 20 s and then {demand:d} for 20 s")
def demand_changes(context, between, demand):
    for value in (between, demand):
        set_demand(context, value)
        plans_made(context, 20)


@then("it sends {sent:g} of its pieces")
def sends(context, sent):
    assert abs(sum(context.plan.shares.values()) - sent) < 1e-4, context.plan


@then("the share of b {verb} by at most 0.05 in each plan {direction} to {end:g}")
def share_moves(context, verb, direction, end):
    for _ in range(40):
        before = context.plan.shares.get("b", 0.0)
        revise(context, REPORT_MS if context.plan.version else 0.0)
        change = context.plan.shares.get("b", 0.0) - before
        assert abs(change) <= (0.05 if context.plan.version > 1 else 0.1) + 1e-9, change
        assert (change >= 0) if verb == "grows" else (change <= 0)
    assert abs(context.plan.shares.get("b", 0.0) - end) < 0.03, context.plan


@when("the demand of a is {demand:d}")
def demand_of_a(context, demand):
    set_demand(context, demand)


@when("the next plan is made after {seconds:d} s")
def plan_after(context, seconds):
    context.before = context.plan
    revise(context, seconds * SECOND_MS)


@then("the share of b has grown by {change:g}")
def has_grown(context, change):
    found = context.plan.shares["b"] - context.before.shares["b"]
    assert abs(found - change) < 1e-9, found


@when("b has a capacity of 0")
def no_capacity(context):
    assert context.plan.shares["b"] > 0.2
    context.loads["b"] = DatacentreLoad(10.0, 0.0, 0.0)


@when("the reports of b stop")
def no_reports(context):
    assert context.plan.shares["b"] > 0.2
    del context.loads["b"]


@then("the next plan sends nothing to b")
def nothing_to_b(context):
    revise(context)
    assert set(context.plan.shares) == {"c"}, context.plan


@then("the plan has shares {ms:d} ms later, and none {later:d} ms later")
def plan_expires(context, ms, later):
    assert context.plan.valid_shares(context.now + ms) == context.plan.shares != {}
    assert context.plan.valid_shares(context.now + later) == {}


@given("data centres a and b at {demand:d} of 100, and c at {low:g} and {high:g} in turn")
def waves(context, demand, low, high):
    context.demand, context.c_loads = float(demand), (low, high)


@given("the reports that reach b are {ms:d} ms old")
def reports_old(context, ms):
    context.old_plans = round(ms / REPORT_MS)


@when("both make plans for {seconds:d} s")
def both_plan(context, seconds):
    plans = {"a": DemandPlan(), "b": DemandPlan()}
    context.series = []
    for step in range(round(seconds * SECOND_MS / REPORT_MS)):
        now = step * REPORT_MS
        for name, late in (("a", 0), ("b", context.old_plans)):
            c_load = context.c_loads[(step - late) % 2]
            loads = {one: DatacentreLoad(context.demand, 100.0, now) for one in "ab"}
            loads["c"] = DatacentreLoad(c_load * 100.0, 100.0, now)
            plans[name] = plans[name].revised(name, loads, now)
        context.series.append([plans[name].shares.get("c", 0.0) for name in "ab"])


@then("their shares change by at most 0.05 in each plan")
def small_changes(context):
    series = context.series
    assert max(max(one) for one in series) > 0.0
    # The first plan follows none and may use the change of a second.
    for before, after in zip(series[1:], series[2:], strict=False):
        assert all(abs(x - y) <= 0.05 + 1e-9 for x, y in zip(before, after, strict=True)), series


@then("together they never send c more than {part:g} of its capacity")
def bounded(context, part):
    sent = max(sum(one) for one in context.series) * context.demand
    assert sent <= part * 100.0, context.series


@given("a plan that sends {b:g} of the pieces to b and {c:g} to c")
def plan_of(context, b, c):
    context.shares, context.counter, context.sent = {"b": b, "c": c}, ShareCounter(), []


def offer(context, pieces, allowed=("b", "c"), backlog=""):
    context.counter.add(context.shares, pieces, RECENT_PIECES)
    target = context.counter.choose(pieces, () if backlog else allowed) or backlog
    if target:
        context.counter.record_sent(target, pieces)
    context.sent.append((target, pieces))


def sent_to(context, name):
    return [pieces for target, pieces in context.sent if target == name]


@when("{number:d} stages of {pieces:d} pieces come")
def stages_come(context, number, pieces):
    for _ in range(number):
        offer(context, pieces)


@then("{b:d} of them are sent to b and {c:d} to c, never more than 1 in a row to each")
def counted(context, b, c):
    assert (len(sent_to(context, "b")), len(sent_to(context, "c"))) == (b, c), context.sent
    pairs = zip(context.sent, context.sent[1:], strict=False)
    assert not any(x[0] and x[0] == y[0] for x, y in pairs), context.sent


@when("{number:d} stages of {small:d} and of {large:d} pieces come in turn")
def mixed(context, number, small, large):
    for n in range(number):
        offer(context, (small, large)[n % 2])


@then("between {low:d} and {high:d} pieces are sent to b")
def pieces_between(context, low, high):
    assert low <= sum(sent_to(context, "b")) <= high, sum(sent_to(context, "b"))


@when("{first:d} stages that must stay come, and then {others:d} others")
def must_stay(context, first, others):
    for _ in range(first):
        offer(context, 1, allowed=())
    assert not sent_to(context, "b")
    for _ in range(others):
        offer(context, 1)


@then("at most {number:d} of the others are sent to b")
def at_most(context, number):
    assert 1 <= len(sent_to(context, "b")) <= number, context.sent


@when("{number:d} stages of {pieces:d} pieces come, each fourth lent to b on its backlog")
def some_lent(context, number, pieces):
    for n in range(number):
        offer(context, pieces, backlog="b" if n % 4 == 0 else "")


@then("{number:d} of them are sent to b in all")
def sent_in_all(context, number):
    assert len(sent_to(context, "b")) == number, context.sent
