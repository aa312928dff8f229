# retrybudget_steps.py -- Steps about the retry budget that all instances share
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about the retry budget that all instances share."""

from dataclasses import replace

import gevent
from behave import given, then, when
from fleetevents import EVENT_MS, EVENTS, restart, restart_all
from forwardbasics import PATHS, SECOND_MS, request, save_retries, serve
from noticerecorder import send

from mountladder.errors import StoreUnavailableError
from mountladder_standins.serverpartition import ServerPartition

# How long after a reload or a restart of all instances the next one follows.
AGAIN_MS = 2_500.0


@given("all servers refuse half of all requests")
def refuse_half(context):
    context.fleet.upstream.refuse_every = dict.fromkeys(context.servers, 2)


@given("arrivals at servers are recorded")
def record_arrivals(context):
    upstream = context.fleet.upstream
    context.arrivals = []
    plain_open = upstream.open

    def open_(server, call, limit_ms):
        context.arrivals.append((context.clock.now(), call.request.id))
        return plain_open(server, call, limit_ms)

    upstream.open = open_


def nothing(context):
    pass


def reload_twice(context):
    for _ in range(2):
        for instance in context.fleet.instances.values():
            instance.apply_settings(instance.settings)
        context.clock.sleep(AGAIN_MS)


def restart_all_often(context):
    for _ in range(3):
        restart_all(context)
        context.clock.sleep(AGAIN_MS)


def lose_store(context):
    """Have the store answer no instance that starts or reads the list from now on."""

    def unavailable(*_):
        raise StoreUnavailableError("down")

    context.fleet.catalogue.down = context.fleet.servers.down = True
    context.fleet.instance_list.instances = context.fleet.instance_list.announce = unavailable


def restart_two_thirds(context):
    lose_store(context)
    names = list(context.fleet.instances)[2:]
    gevent.joinall([gevent.spawn(restart, context, name) for name in names])


def restart_alone(context):
    """Restart all instances but one, of which each reaches only that one."""
    lose_store(context)
    first, *names = context.fleet.instances
    context.fleet.network.cut_instances |= {
        frozenset({a, b}) for a in names for b in names if a != b
    }
    gevent.joinall([gevent.spawn(restart, context, name) for name in names])


def forget_half(context):
    """Restore a store that has no entry of three instances, which their peers cannot reach."""
    names = list(context.fleet.instances)
    lost = names[3:]
    context.fleet.network.cut_instances |= {
        frozenset({a, b}) for a in lost for b in names if a != b
    }
    for name in lost:
        del context.fleet.instance_list.history[name]
    context.clock.sleep(SECOND_MS)
    for name in names[:3]:
        context.fleet.instances[name].member_reader.read()


def turn_to_others(context):
    """Have callers use half of the instances only; the others run on."""
    for name in list(context.fleet.instances)[3:]:
        context.stack.callback(context.fleet.instances.pop(name).close)


BUDGET_EVENTS = EVENTS | {
    "nothing else happens": nothing,
    "all instances reload their settings, twice": reload_twice,
    "all instances are restarted at once, three times": restart_all_often,
    "two thirds of the instances restart without a store": restart_two_thirds,
    "all but one restart without a store, and reach only that one": restart_alone,
    "the restored store has lost three unreachable instances": forget_half,
    "the callers of half of the instances turn to the others": turn_to_others,
}


@when("{rate:d} {kind:w} requests a second come for {ms:d} ms while {what}")
def come_while(context, rate, kind, ms, what):
    save_retries(context)
    event = BUDGET_EVENTS[what]
    context.clock.call_later(EVENT_MS, lambda: gevent.spawn(event, context))
    send(context, rate, kind, ms)


def retry_times(context):
    """Return when requests that had reached a server before reached one again."""
    seen, times = set(), []
    for at, id_ in context.arrivals:
        if id_ in seen:
            times.append(at)
        seen.add(id_)
    return times


@then(
    "no service gets more than {ratio:g} retries for each request and {reserve:d} more in any "
    "{window_ms:d} ms"
)
def within_shared_budget(context, ratio, reserve, window_ms):
    """Check any window.

    The requests are those of the window, of the one before it or of the one half a window before
    it, whichever has most.
    """
    retries = retry_times(context)
    arrived = context.arrived.values()
    worst = (0.0, 0.0)
    for start in retries:
        got = sum(start <= at < start + window_ms for at in retries)
        counts = [
            sum(start - earlier <= at < start - earlier + window_ms for at in arrived)
            for earlier in (0.0, window_ms / 2, window_ms)
        ]
        worst = max(worst, (got - ratio * max(counts) - reserve, start))
    assert retries and worst[0] <= 0, f"{worst[0]:.1f} too many from {worst[1]:.0f} ms on"


@when("all instances are killed and start again")
def all_start_again(context):
    context.run(restart_all, context)


def allowed_retries(instance):
    """Take retries out of an instance's budget until it allows no more; return how many."""
    budget, allowed = instance.budgets.of_requests("desk"), 0
    while budget.spend():
        allowed += 1
    return allowed


@then("each allows 0 retries, and 1 retry after {number:d} more requests")
def allows_earned(context, number):
    for instance in context.fleet.instances.values():
        assert allowed_retries(instance) == 0
        for sent in range(1, number + 1):
            instance.budgets.of_requests("desk").earn()
            assert allowed_retries(instance) == (sent == number), sent


@then("{ms:d} ms after its start each allows {number:d} retries")
def allows_later(context, ms, number):
    started_at = {name: one.budgets.started_at for name, one in context.fleet.instances.items()}
    context.run(context.clock.sleep, ms + min(started_at.values()) - context.clock.now())
    allowed = [allowed_retries(one) for one in context.fleet.instances.values()]
    assert allowed == [number] * len(allowed), allowed


@when(
    "all instances reload settings that allow no retries, and {rate:d} {kind:w} requests a second "
    "come for {ms:d} ms"
)
def reload_without_retries(context, rate, kind, ms):
    context.retried_before = len(retry_times(context))
    for instance in context.fleet.instances.values():
        limits = {"retry_ratio": 0.0, "retry_reserve": 0.0}
        instance.apply_settings(replace(instance.settings, **limits))
    send(context, rate, kind, ms, label="later")


@then("the latter were not retried")
def not_retried(context):
    assert 0 < context.retried_before == len(retry_times(context))


@given("an instance that is cut off from all servers and has not noticed it yet")
def unnoticed_partition(context):
    context.cut_off = next(iter(context.fleet.instances))
    context.fleet.partitions[context.cut_off] = ServerPartition.RESET
    context.saved_before = saved_retries(context)


@when("a safe request to it is relayed to another instance")
def relay_one(context):
    sent = request("r", PATHS["safe"], context.clock.now())
    context.run(serve, context, context.cut_off, sent)
    assert context.ends["r"][0] == 200, context.ends["r"]
    assert [(one, id_) for one, _, id_ in context.fleet.relayed] == [(context.cut_off, "r")]


def saved_retries(context):
    """Return how many retries all instances have saved up for the service of plain requests."""
    budgets = (one.budgets.of_requests("desk") for one in context.fleet.instances.values())
    return sum(one.saved for one in budgets)


@then("the two instances have saved {number:g} retries more in all")
def saved_more(context, number):
    assert abs(saved_retries(context) - context.saved_before - number) < 1e-6
