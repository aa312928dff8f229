# silentpeers_steps.py -- Steps about decisions of instances that others do not answer
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about decisions of instances that others do not answer."""

from unittest.mock import patch

import gevent
from behave import given, then, when
from coldserver_steps import turn_cold
from fleetevents import EVENT_MS, EVENTS
from forwardbasics import PATHS, find_coordinator, request, send_steadily, serve
from noticerecorder import send
from order_steps import configure, make_model, reconciler
from quarantine_steps import model_names
from serverlimit_steps import announce_limit, of_service
from serverlimit_steps import send as send_limited

from mountladder.errors import StoreUnavailableError
from mountladder.forwarding.backlog import PRIORITY_CLASSES, Backlog
from mountladder.forwarding.ranking import prompts_topic
from mountladder_standins import forwardfleet

ALONE_MS = 2_500.0
LISTED_MS = 300.0
GROWN_MS = 2_000.0
# When the fleet grows, how often its parts of the reserve are read, and how long cuts last.
BEFORE_MS, SAMPLE_MS = 12_000.0, 500.0
LONG_CUT_MS, SHORT_CUT_MS, SHORT_CUTS = 50_000.0, 8_000.0, 4
UNNOTICED_CUT_MS = 24_000.0
WINDOW_MS = 11_000.0
LATE_NAMES = tuple(f"a-late-{n}" for n in range(12))
# After this time entries of crashed servers lapse.
LAPSE_MS = 3_600.0


@when("instance {name} starts with no seed")
def starts_without_seed(context, name):
    context.fleet.instance_list.announce = context.fleet.instance_list.instances
    context.fleet.start(name).fleet.seeds = ()
    context.run(context.clock.sleep, ALONE_MS)


@then("{name} serves, knows no others and may spend less than a tenth of a common limit")
def spends_little(context, name):
    one = context.fleet.instances[name]
    assert one.directory.ready and not one.membership.known, one.membership.known
    for service in ("desk", "llm"):
        fraction = one.cold.leadership.fraction(prompts_topic(service))
        assert fraction < 0.1, fraction


def crash(context, one):
    context.fleet.instances.pop(one.settings.name).close()


def leave(context, one):
    one.leave()


def lose_links(context, one):
    name = one.settings.name
    context.fleet.network.cut_instances |= {
        frozenset({name, other}) for other in context.fleet.instances if other != name
    }


ENDS = {"crash": crash, "leave": leave, "stop being reached": lose_links}


@when(
    "all llm servers restart cold, and {number:d} placement coordinators {end} every {every:d} ms "
    "while {per_s:d} stream requests a second come for {ms:d} ms"
)
def coordinators_end(context, number, end, every, per_s, ms):
    turn_cold(context, [name for name in context.servers if name.startswith("llm-")])
    context.run(context.clock.sleep, LISTED_MS)
    end_in_turn(context, 0.0, number, end, float(every))
    send_steadily(context, per_s, "stream", ms)


@when(
    "all llm servers announce a limit of {limit:d} a second, and {number:d} placement coordinators "
    "{end} every {every:d} ms while {per_s:d} stream requests a second come for {ms:d} ms"
)
def limited_coordinators_end(context, limit, number, end, every, per_s, ms):
    for name in of_service(context, "llm"):
        announce_limit(context, name, float(limit))
    end_in_turn(context, EVENT_MS, number, end, float(every))
    send_limited(context, per_s, "stream", ms)


def end_in_turn(context, after_ms, number, end, every_ms):
    """Have the coordinators of the prompts of llm end, one after the other."""

    def end_all():
        for name in ranked_names(context)[:number]:
            context.clock.sleep(every_ms)
            ENDS[end](context, context.fleet.instances[name])

    context.clock.call_later(after_ms, lambda: gevent.spawn(end_all))


def ranked_names(context):
    """Return the names of the instances by their rank for the prompts of llm."""
    one = next(iter(context.fleet.instances.values()))
    return [other.name for other in one.fleet.coordinators.ranked(prompts_topic("llm"))]


@given("all instances share a reserve of {number:d} retries")
def reserve(context, number):
    context.stack.enter_context(patch.object(forwardfleet, "RETRY_RESERVE", float(number)))


@given(
    "data centres b, c are cut off from data centre a and the store, and {number:d} more instances "
    "start in a"
)
def fleet_grows(context, number):
    fleet = context.fleet
    fleet.network.cut_datacentres |= {frozenset("ab"), frozenset("ac")}
    for one in fleet.instances.values():
        if one.settings.datacentre != "a":
            one.member_reader.instances = UnreachableList()
    for n in range(number):
        fleet.start(f"a-late-{n}")
    context.run(context.clock.sleep, GROWN_MS)


@given("{number:d} more instances start in data centre {name:w}")
def start_more(context, number, name):
    for n in range(number):
        context.fleet.start(f"{name}-late-{n}")


@given("no instance tells when it has read the list of instances")
def tells_no_age(context):
    for one in context.fleet.instances.values():
        one.fleet.members_age_s = lambda: 0


def lose_list(context, names):
    """Have no call for the list of instances answered at some instances."""
    for name in names:
        context.fleet.instances[name].member_reader.instances = UnreachableList()


def cut_off_all(context, names):
    """Cut instances off from the list of instances and from all others but each other."""
    context.fleet.network.cut_instances |= {
        frozenset({one, other})
        for one in names
        for other in context.fleet.instances
        if other not in names
    }
    lose_list(context, names)


def reconnect(context):
    context.fleet.network.cut_instances.clear()
    for one in context.fleet.instances.values():
        one.member_reader.instances = context.fleet.instance_list


def start_late(context, cut=()):
    """Start further instances, which some instances are cut off from."""
    context.fleet.network.cut_instances |= {frozenset({a, b}) for a in LATE_NAMES for b in cut}
    for name in LATE_NAMES:
        context.fleet.start(name)


def grow_in_cut(context):
    """Have the fleet grow while all instances but those of data centre a are cut off."""
    names = [name for name in context.fleet.instances if not name.startswith("a")]
    cut_off_all(context, names)
    start_late(context, names)
    return names


def grow_in_long_cut(context):
    grow_in_cut(context)
    context.clock.sleep(LONG_CUT_MS)
    reconnect(context)


def grow_in_short_cuts(context):
    names = grow_in_cut(context)
    for _ in range(SHORT_CUTS):
        context.clock.sleep(SHORT_CUT_MS)
        reconnect(context)
        context.clock.sleep(SHORT_CUT_MS)
        cut_off_all(context, names)
    reconnect(context)


def grow_and_restart_in_cut(context):
    names = grow_in_cut(context)
    context.clock.sleep(SHORT_CUT_MS)
    for name in names:
        context.fleet.instances[name].close()
        context.fleet.start(name).member_reader.instances = UnreachableList()
    context.clock.sleep(LONG_CUT_MS)
    reconnect(context)


def grow_and_restart_all(context):
    names = grow_in_cut(context)
    context.clock.sleep(SHORT_CUT_MS)
    for name in list(context.fleet.instances):
        context.fleet.instances[name].close()
        context.fleet.start(name)
    lose_list(context, names)
    context.clock.sleep(LONG_CUT_MS)
    reconnect(context)


def grow_without_list(context):
    """Have the fleet grow while the list of instances does not answer data centre b."""
    lose_list(context, [name for name in context.fleet.instances if name.startswith("b")])
    start_late(context)
    context.clock.sleep(LONG_CUT_MS)
    reconnect(context)


def grow_beside_cut(context):
    """Have the fleet grow while one instance is cut off, for less than it takes to notice it."""
    reading = {name for name, one in context.fleet.instances.items() if is_reading(one)}
    name = next(name for name in context.fleet.instances if name[0] == "b" and name not in reading)
    cut_off_all(context, [name])
    start_late(context, [name])
    context.clock.sleep(UNNOTICED_CUT_MS)
    reconnect(context)


def is_reading(one):
    return one.fleet.reader_election.reading


def change_nothing(context):
    pass


def crash_and_grow(context):
    for name in list(context.fleet.instances)[-2:]:
        context.fleet.instances.pop(name).close()
    start_late(context)


GROWTH = {
    "they are cut off": grow_in_long_cut,
    "they are cut off for a moment, again and again": grow_in_short_cuts,
    "they are cut off and restart": grow_and_restart_in_cut,
    "they are cut off and all instances restart": grow_and_restart_all,
    "data centre b cannot read the list": grow_without_list,
    "one is cut off for a moment": grow_beside_cut,
    "nothing": change_nothing,
    "two have crashed": crash_and_grow,
}


@when("the parts of the reserve are watched for {ms:d} ms, and {what} else happens")
@when("the parts of the reserve are watched for {ms:d} ms, and more instances start while {what}")
def watch_parts(context, ms, what):
    """Record which part of the reserve each instance may spend, by its name."""
    context.parts = {}
    context.clock.call_later(BEFORE_MS, lambda: gevent.spawn(GROWTH[what], context))
    context.run(sample_parts, context, float(ms))


def sample_parts(context, ms):
    until = context.clock.now() + ms
    while context.clock.now() < until:
        now = context.clock.now()
        for name, one in context.fleet.instances.items():
            is_young = now - one.budgets.started_at < WINDOW_MS
            part = 0.0 if is_young else one.budgets.reserve() / one.settings.retry_reserve
            context.parts.setdefault(name, []).append((now, part))
        context.clock.sleep(SAMPLE_MS)


@then("in any window the parts add up to the reserve at most")
def parts_within(context):
    """Check the sum of the largest part that each instance had in a window."""
    times = sorted({at for samples in context.parts.values() for at, _ in samples})
    sums = [
        sum(
            max((part for at, part in samples if end - WINDOW_MS < at <= end), default=0.0)
            for samples in context.parts.values()
        )
        for end in times
    ]
    worst = max(range(len(sums)), key=sums.__getitem__)
    assert 0.0 < sums[worst] <= 1.0 + 1e-6, f"{sums[worst]:.2f} until {times[worst]:.0f} ms"


@then("before more started and at the end each takes an equal part")
def equal_parts(context):
    """Check the parts before and after the fleet has grown."""
    first = [one[0][1] for name, one in context.parts.items() if name not in LATE_NAMES]
    assert all(abs(part * len(first) - 1.0) < 1e-6 for part in first), first
    equal_at_end(context)


@then("at the end each takes an equal part")
def equal_at_end(context):
    """Check the part of each instance that runs; those that have crashed count as well."""
    last = {name: context.parts[name][-1][1] for name in context.fleet.instances}
    number = len(context.parts)
    assert all(abs(part * number - 1.0) < 1e-6 for part in last.values()), last


class UnreachableList:
    """A list of instances that cannot be read."""

    def instances(self):
        raise StoreUnavailableError("down")

    announce = instances


@when("the list of servers cannot be read for {ms:d} ms, in which both servers are unlisted")
def list_away(context, ms):
    source = context.fleet.servers
    names = model_names(context)[:2]
    source.down = True
    context.run(context.clock.sleep, LAPSE_MS)
    for name in names:
        source.put(name, None)
    context.run(context.clock.sleep, ms - LAPSE_MS)
    source.down = False


@when("{rate:d} {kind:w} requests a second come for {ms:d} ms, and after {after:d} ms {what}")
def come_and_lose(context, rate, kind, ms, after, what):
    context.topic = prompts_topic("llm" if kind == "stream" else "desk")
    context.began_at = context.clock.now()
    context.clock.call_later(float(after), lambda: gevent.spawn(EVENTS[what], context))
    send(context, rate, kind, float(ms))


@given("the coordinator of {service:w} announces a wait of {wait_ms:d} ms and crashes")
def announces_and_crashes(context, service, wait_ms):
    coordinator = find_coordinator(context, service)
    waits = (float(wait_ms),) * len(PRIORITY_CLASSES)
    for one in context.fleet.instances.values():
        if one is not coordinator:
            one.dispatch.backlogs.record(Backlog(service, waits, ()), one.settings.datacentre)
    crash(context, coordinator)


@then("a staged request to each instance is answered")
def staged_answered(context):
    for name in list(context.fleet.instances):
        sent = request(f"{name}/staged", PATHS["staged"], context.clock.now())
        context.run(serve, context, name, sent)
        assert context.ends[sent.id][0] == 200 and not context.ends[sent.id][2], context.ends


@when("the engines that load do not answer any more")
def loading_silent(context):
    context.silenced = {name for name, one in context.loaders.items() if one.loading}
    assert len(context.silenced) == 2, context.silenced
    for one in context.reconcilers.values():
        one.engines.down |= context.silenced


@given("the engines do not answer any more once they have an order")
def silent_after_order(context):
    engines = reconciler(context, "one").engines
    plain_order = engines.order

    def order(server, sent):
        plain_order(server, sent)
        engines.down.add(server.name)
        engines.find_loader(server)

    engines.order = order


@when("all engines answer again")
def engines_answer(context):
    for one in context.reconcilers.values():
        one.engines.down.clear()


@when("these engines are removed from the configuration")
def engines_removed(context):
    context.servers = [one for one in context.servers if one.name not in context.silenced]
    configure(context, make_model("new-model", 4), make_model("old-model", 4))


@then("{number:d} engines were ordered to load")
def ordered_to_load(context, number):
    ordered = [
        name
        for name, one in context.loaders.items()
        if any("new-model" in dict(order.models) for order in one.orders)
    ]
    assert len(ordered) == number, ordered
