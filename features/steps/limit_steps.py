# limit_steps.py -- Steps about admission, membership and cost
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about admission, membership and cost."""

import gevent
from behave import given, then, when

from mountladder.accounts.ledger import read_totals
from mountladder.clocks.virtualclock import VirtualClock
from mountladder.configuration.team import Team
from mountladder.errors import RefusalError
from mountladder.limits.admission import Admission

WAIT_MS = 1_000.0
LONG_MS = 500_000.0


@given(
    "an instance with {slots:d} slots and teams big of share {big:d} and small of share "
    "{small:d}"
)
def slots_and_teams(context, slots, big, small):
    context.clock = VirtualClock()
    context.admission = Admission(context.clock, slots, 8 * slots)
    context.teams = {
        name: Team(name, {}, "", float(share), 0, "")
        for name, share in (("big", big), ("small", small))
    }
    context.ran = []
    context.refused = []


def enter(context, name, run_ms):
    team = context.teams[name]
    started = context.clock.now()
    try:
        context.admission.enter(team, 0, started + WAIT_MS)
    except RefusalError as error:
        context.refused.append((name, error.code.number, context.clock.now() - started))
        return
    context.ran.append(name)
    context.clock.sleep(run_ms)
    context.admission.leave(team)


def spawn_requests(context, big, small, run_ms):
    names = ["big"] * big + ["small"] * small
    return [gevent.spawn(enter, context, name, run_ms) for name in names]


@when("{big:d} requests of big and {small:d} of small come at once and each runs {ms:d} ms")
def at_once(context, big, small, ms):
    tasks = spawn_requests(context, big, small, float(ms))
    context.clock.run(gevent.spawn(gevent.joinall, tasks))


@when("{big:d} requests of big and {small:d} of small come at once and the instance is shut down")
def shut_down(context, big, small):
    tasks = spawn_requests(context, big, small, 100.0)

    def work():
        context.clock.sleep(10.0)
        context.admission.close()
        gevent.joinall(tasks)

    context.clock.run(gevent.spawn(work))


@then("of the {count:d} that ran after the first {first:d} {number:d} were of big")
def ran_next(context, count, first, number):
    assert context.ran[first : first + count].count("big") == number, context.ran


@then("every request of small ran and some of big were refused with {alone:d} and {code:d} at once")
def heaviest_refused(context, alone, code):
    assert context.ran.count("small") == 2, context.ran
    assert {row[:2] for row in context.refused} == {("big", alone), ("big", code)}
    assert all(took == 0 for *_, took in context.refused), context.refused


@then("{ran:d} ran and {refused:d} was refused with {code:d} after {ms:d} ms")
def timed_out(context, ran, refused, code, ms):
    assert len(context.ran) == ran, context.ran
    assert context.refused == [("big", code, float(ms))] * refused, context.refused


@then("{ran:d} ran and {refused:d} were refused with {code:d} at once")
def refused_at_once(context, ran, refused, code):
    assert len(context.ran) == ran, context.ran
    assert [row[1] for row in context.refused] == [code] * refused, context.refused


@then("the store accounts for {calls:d} calls of stage {stage}")
def accounted(context, calls, stage):
    totals = context.run(read_totals, context.fleet.standin.memory)
    found = sum(amount.calls for charge, amount in totals.items() if charge.stage == stage)
    assert found == calls, totals


@then("the store holds {number:d} claims")
def claims(context, number):
    held = context.fleet.standin.memory.scan("claim/")
    assert len(held) == number, held


@when("{ms:d} ms pass on the wall clock")
def pass_wall_time(context, ms):
    """Advance the wall clock by a long time without simulating each heartbeat in it."""
    idempotency = next(iter(context.fleet.runtimes.values())).idempotency
    wall = context.clock.wall
    context.clock.wall = lambda: wall() + ms
    context.run(context.clock.sleep, LONG_MS / 20)
    assert idempotency.clock is context.clock


@then('"{work}" ran on {name} as well')
def ran_on(context, work, name):
    assert any(one.work == work for one in context.fleet.servers[name].ran)
