# serverlimit_steps.py -- Steps about backend servers that limit their request rate
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about backend servers that limit their request rate."""

from collections import OrderedDict
from dataclasses import replace
from functools import partial
from random import Random

import gevent
from behave import given, then, when
from fleetevents import EVENT_MS, EVENTS
from forwardbasics import (
    PATHS,
    SECOND_MS,
    catalogue,
    find_coordinator,
    max_within,
    placement_coordinator,
    record_sends,
    request,
    send_steadily,
    serve,
)

from mountladder.forwarding.callerteam import CallerTeam
from mountladder.forwarding.placementorder import PlacementOrder
from mountladder.forwarding.prompt import Prompt
from mountladder.forwarding.promptpart import PromptPart
from mountladder.forwarding.prompttransfer import PromptTransfer
from mountladder.forwarding.ranking import prompts_topic
from mountladder.forwarding.serverpicker import EMPTY_PROMPT
from mountladder.forwarding.serverrecord import ID_LABEL, listed_server
from mountladder.metrics.memorymetrics import MemoryMetrics
from mountladder.notices.backoff import BackOff
from mountladder.notices.leaving import Leaving
from mountladder.notices.noticeregistry import NoticeRegistry
from mountladder.notices.ratelimit import UNLIMITED, RateLimit
from mountladder.routing.costmodel import CostModel
from mountladder.routing.expectedcompletion import ExpectedCompletion
from mountladder.routing.promptplacement import PromptPlacement
from mountladder.routing.router import Router
from mountladder.routing.serverconstraints import ServerConstraints
from mountladder.routing.serverdelays import ServerDelays

SETTLE_MS = 1_500.0
# The bound: from EFFECTIVE_MS after a server first announced its limit, it gets in any SPAN_S at
# most half as many requests again as it announced and five more, over all instances.
EFFECTIVE_MS = 3_000.0
SPAN_S = 4.0
OVERSHOOT, BURST = 1.5, 5
# After this time all instances know of a limit: the first requests have run their stages and have
# been answered.
KNOWN_MS = 700.0
# The latency target of the routes in use here.
TARGET_MS = 600.0


@given("a fleet of {number:d} instances in data centres a, b, c")
def fleet(context, number):
    context.fleet.configure(catalogue(2))
    for n in range(number):
        context.fleet.start(f"{'abc'[n % 3]}-{n}")
    context.run(context.clock.sleep, SETTLE_MS)
    context.announced_limits = {}
    context.release_calls = []
    record_sends(context)
    record_releases(context)


def record_releases(context):
    """Record which servers are asked to release results."""
    plain = context.fleet.upstream.free

    def free(server, handles, on_notices):
        context.release_calls.append((context.clock.now(), server.address))
        plain(server, handles, on_notices)

    context.fleet.upstream.free = free


def send(context, rate, kind, ms, keys=("k",), label=""):
    """Send requests at a steady rate, with prompts of 12 subjects, for each team key in turn."""
    context.rate, context.kind, context.series_at = rate, kind, context.clock.now()

    def fields(n):
        key = keys[n % len(keys)]
        plain = {"key": key} | ({"id": f"ranked/{key}-{n}"} if len(keys) > 1 else {})
        if kind not in {"stream", "resumable", "staged"}:
            return plain
        parts = (PromptPart(f"subject-{n % 12}", 800), PromptPart(f"own-{n}", 200))
        return plain | {"prompt": Prompt(1_000, 30, parts)}

    send_steadily(context, rate, kind, ms, label=label, fields=fields)


def announce_limit(context, server, per_s):
    """Have a server announce a limit from now on."""
    context.fleet.upstream.limits[server] = per_s
    context.announced_limits.setdefault(server, []).append((context.clock.now(), per_s))


@when(
    "server {server} announces a limit of {per_s:g} request a second, and {rate:d} {kind} "
    "requests a second come for {ms:d} ms"
)
def announces_limit(context, server, per_s, rate, kind, ms):
    announce_limit(context, server, per_s)
    send(context, rate, kind, ms)


def arrivals(context, server):
    """Return when requests came to a server; a call with pieces counts as one."""
    return [at for at, name, _, _ in context.sent if name == server]


@then("no server got more than its limit allows")
def within_limits(context):
    for server, (since, per_s) in limited(context).items():
        times = [at for at in arrivals(context, server) if at >= since]
        counted = [at for at in times if at >= times[0] + EFFECTIVE_MS]
        maximum = OVERSHOOT * SPAN_S * per_s + BURST
        got = max_within(counted, SPAN_S * SECOND_MS)
        assert got <= maximum, (server, got, maximum)


def limited(context):
    """Return when each server first announced a limit, and its highest limit, by server."""
    return {
        name: (limits[0][0], max(per_s for _, per_s in limits))
        for name, limits in context.announced_limits.items()
    }


def of_service(context, service):
    return [name for name in context.servers if name.startswith(f"{service}-")]


@when(
    "all {service:w} servers announce a limit of {per_s:g} requests a second, and {rate:d} "
    "{kind:w} requests a second come for {ms:d} ms"
)
def all_announce(context, service, per_s, rate, kind, ms):
    for server in of_service(context, service):
        announce_limit(context, server, per_s)
    context.length_ms = ms
    send(context, rate, kind, ms)


@when(
    "all {service:w} servers announce a limit of {per_s:g} requests a second, and {rate:d} "
    "{kind:w} requests a second come for {ms:d} ms while {what}"
)
def all_announce_while(context, service, per_s, rate, kind, ms, what):
    context.topic = service if service == "enc" else prompts_topic(service)
    context.clock.call_later(EVENT_MS, lambda: gevent.spawn(EVENTS[what], context))
    all_announce(context, service, per_s, rate, kind, ms)


@given("{number:d} more instances")
def more(context, number):
    for n in range(number):
        context.fleet.start(f"{'abc'[n % 3]}-more-{n}")
    context.run(context.clock.sleep, SETTLE_MS)


@then("over {percent:d} of 100 of the requests that the limits allow were sent")
def used(context, percent):
    for server, (since, per_s) in limited(context).items():
        got = [at for at in arrivals(context, server) if at >= since + EFFECTIVE_MS]
        seconds = (context.length_ms - EFFECTIVE_MS) / SECOND_MS
        assert len(got) > percent / 100 * int(per_s * seconds), (server, len(got), per_s * seconds)


def known_ends(context):
    """Return the outcomes of requests that came once all instances knew of the limits, by id.

    Earlier requests were admitted as if there were no limits.
    """
    known_at = min(since for since, _ in limited(context).values()) + KNOWN_MS
    return {id_: end for id_, end in context.ends.items() if context.arrived[id_] >= known_at}


@then("every request that was not served was reported as not run, with a time to retry")
def refused_with_retry_time(context):
    lost = [end for end in known_ends(context).values() if end[0] != 200]
    assert lost and {end[3] for end in lost} == {"not_run"}, {end[2:4] for end in lost}
    assert all(end[4].retry_after_ms > 0 for end in lost)


@then("over {percent:d} of 100 answers were on time")
def on_time(context, percent):
    took = [context.took[id_] for id_, end in known_ends(context).items() if end[0] == 200]
    in_time = sum(ms <= TARGET_MS for ms in took)
    assert took and in_time > percent / 100 * len(took), (in_time, len(took))


@then("the instances of data centre {there:w} sent over {minimum:d} requests while cut off")
def sent_while_cut_off(context, there, minimum):
    since = context.series_at + EVENT_MS + SECOND_MS
    sent = [one for one in context.sent if one[0] >= since and one[3].startswith(f"{there}-")]
    assert len(sent) > minimum, len(sent)


@then("calls held {minimum:d} pieces or more on average")
def fill_of_calls(context, minimum):
    calls = [n for at, server, n, _ in context.sent if server.startswith("enc-")]
    late = calls[len(calls) // 2 :]
    assert sum(late) >= minimum * len(late), (sum(late), len(late))


@given("server {server} has announced a limit of {per_s:g} request a second")
@given("server {server} has announced a limit of {per_s:g} requests a second")
@given("all {service:w} servers have announced a limit of {per_s:g} request a second")
def has_announced(context, per_s, server="", service=""):
    for one in [server] if server else of_service(context, service):
        announce_limit(context, one, per_s)
        for instance in list(context.fleet.instances.values())[:1]:
            found = instance.directory.find(one)
            instance.limits.registry.record(found, RateLimit(per_s), context.clock.now())
    context.run(context.clock.sleep, 100.0)


@when("an instance starts while the store is unreachable")
def starts_without_store(context):
    context.fleet.catalogue.down = context.fleet.servers.down = True
    context.new = context.fleet.start("a-new")


@then("it knows within {ms:d} ms that {server} has a limit of {per_s:g} a second")
def knows(context, ms, server, per_s):
    context.run(context.clock.sleep, float(ms))
    assert context.new.limits.registry.per_s(server) == per_s
    assert context.new.limits.leadership.fraction("any topic") < 1.0


@when("its limit becomes {limit}, and they come for {ms:d} ms more")
def limit_becomes(context, limit, ms):
    server = next(iter(context.announced_limits))
    if limit == "none":
        context.fleet.upstream.limits.pop(server)
    else:
        announce_limit(context, server, float(limit))
    send(context, context.rate, context.kind, ms, label=f"{context.clock.now()}-")


@then("it got {minimum:d} to {maximum:d} of them")
def got_between(context, minimum, maximum):
    got = len(last_series(context))
    assert minimum <= got <= maximum, got


@then("it got over {minimum:d} of them")
def got_over(context, minimum):
    got = len(last_series(context))
    assert got > minimum, got


def last_series(context):
    """Return when the server got requests of the last series of requests."""
    server = next(iter(context.announced_limits))
    return [at for at in arrivals(context, server) if at >= context.series_at]


@then("no instance considers it limited")
def none_limited(context):
    server = next(iter(context.announced_limits))
    none_considers_limited(context, server)


@then("no instance considers {server} limited")
def none_considers_limited(context, server):
    for instance in context.fleet.instances.values():
        assert instance.limits.registry.per_s(server) == UNLIMITED, instance.settings.name


@then("each server got a request in the last {ms:d} ms")
def got_lately(context, ms):
    for server in context.announced_limits:
        last = max(arrivals(context, server))
        assert last >= context.clock.now() - ms, (server, last, context.clock.now())


@when(
    "server {server} restarts without a limit, and {rate:d} {kind} requests a second come for "
    "{ms:d} ms"
)
def restarts_unlimited(context, server, rate, kind, ms):
    context.fleet.upstream.limits.pop(server)
    service, datacentre = context.servers[server]
    context.fleet.add_server(server, service, datacentre, born=7)
    context.run(context.clock.sleep, 100.0)
    send(context, rate, kind, ms)


@when(
    "no requests come for {seconds:d} s, and then {rate:d} {kind} requests a second for {ms:d} ms"
)
def pause_then(context, seconds, rate, kind, ms):
    context.run(context.clock.sleep, seconds * SECOND_MS)
    send(context, rate, kind, ms)


@then("no server got more than {maximum:d} requests")
def at_most(context, maximum):
    got = {server: len(arrivals(context, server)) for server in context.announced_limits}
    assert sum(got.values()) and max(got.values()) <= maximum, got


@when(
    "no requests come for {minutes:d} minutes, and then {server} announces a limit of {per_s:g} "
    "a second"
)
def pause_then_announce(context, minutes, server, per_s):
    token_buckets(context, *context.announced_limits)
    context.run(context.clock.sleep, minutes * 60_000.0)
    has_announced(context, per_s, server=server)


@when(
    "all {service:w} servers announce a limit of {per_s:g} requests a second, and {rate:d} "
    "urgent and {other:d} other {kind:w} requests a second come for {ms:d} ms"
)
def two_priorities(context, service, per_s, rate, other, kind, ms):
    for server in of_service(context, service):
        announce_limit(context, server, per_s)
    callers = {"k": CallerTeam("desk", 0), "low": CallerTeam("low", 1)}
    newer = replace(catalogue(3), keys=callers, team_priorities=(0, 1), ranks_per_team=2)
    context.fleet.configure(newer)
    context.run(context.clock.sleep, 300.0)
    send(context, rate + other, kind, ms, keys=("k", "low"))


@then(
    "over {percent:d} of 100 urgent requests were answered, and more than {times:d} times as many "
    "as of the others"
)
def urgent_first(context, percent, times):
    ends = list(context.ends.items())
    good = {key: [end[0] == 200 for id_, end in ends if f"/{key}-" in id_] for key in ("k", "low")}
    urgent, other = sum(good["k"]), sum(good["low"])
    assert urgent > percent / 100 * len(good["k"]), (urgent, len(good["k"]))
    assert urgent > times * other, (urgent, other)


@when(
    "the callers refused in the last {ms:d} ms retry when they were told to, with no other "
    "requests"
)
def retry_refused(context, ms):
    since = max(context.ended_at.values()) - ms
    retry_ms_by_id = {
        id_: end[4].retry_after_ms
        for id_, end in context.ends.items()
        if end[0] != 200 and context.ended_at[id_] >= since
    }
    now = context.clock.now()
    context.retries = {}

    def retry(id_, after_ms):
        context.clock.sleep(max(0.0, context.ended_at[id_] + after_ms - now))
        name = id_.split("/")[0]
        sent = request(f"{id_} again", PATHS["safe"], context.clock.now())
        serve(context, name, sent)
        context.retries[id_] = context.ends[sent.id][0]

    def retry_all():
        gevent.joinall([gevent.spawn(retry, *one) for one in retry_ms_by_id.items()])

    assert retry_ms_by_id
    context.run(retry_all)


@then("over {percent:d} of 100 of the retries were answered")
def retries_answered(context, percent):
    good = sum(status == 200 for status in context.retries.values())
    assert good > percent / 100 * len(context.retries), (good, len(context.retries))


def wait_for_slot(context, then):
    """Have a request wait for its reserved slot, and call a function with its task and server."""
    name = next(iter(context.fleet.instances))
    instance = context.fleet.instances[name]

    def play():
        context.clock.sleep(10.0)
        for n in range(12):
            sent = request(f"{name}/{n}", PATHS["safe"], context.clock.now())
            gevent.spawn(serve, context, name, sent)
        context.clock.sleep(900.0)
        sent = request(f"{name}/waiting", PATHS["safe"], context.clock.now())
        task = gevent.spawn(serve, context, name, sent)
        context.clock.sleep(10.0)
        running = {server: state.running for server, state in instance.router.states.items()}
        server = next(one for one, number in running.items() if number)
        then(task, server)
        context.clock.sleep(1_500.0)

    context.instance = instance
    context.run(play)


@when("a caller disconnects while its request waits for its reserved slot")
def disconnects_waiting(context):
    wait_for_slot(context, lambda task, server: task.kill())


@then("its request reaches no server, and no server counts it as running")
def reaches_none(context):
    assert not [id_ for id_ in context.fleet.upstream.arrivals if id_.endswith("/waiting")]
    assert not any(state.running for state in context.instance.router.states.values())
    assert not context.instance.forwarder.context.picker.placer.placed_by


@when("the server is drained at which a request waits for its reserved slot")
def drain_while_waiting(context):
    def drain(task, server):
        service, datacentre = context.servers[server]
        context.fleet.add_server(server, service, datacentre, draining=True)
        context.drained = server

    wait_for_slot(context, drain)


@when("a request waits for its reserved slot, and its server {what}")
def notice_while_waiting(context, what):
    notice = {"leaves": Leaving(), "asks for a back-off": BackOff(5_000.0)}[what]

    def say(task, server):
        for one in context.fleet.instances.values():
            one.notices.dispatch(one.directory.find(server), [notice], context.clock.now())
        context.drained = server

    wait_for_slot(context, say)


@then("it reaches another server only")
def sent_to_another(context):
    (arrived,) = [
        to for id_, to in context.fleet.upstream.arrivals.items() if id_.endswith("/waiting")
    ]
    assert arrived and context.drained not in arrived, (arrived, context.drained)


@given(
    "a server has announced a limit of {per_s} in an answer to a request sent at {sent:d} ms and "
    "answered at {seen:d} ms"
)
def registry_with_limit(context, per_s, sent, seen):
    context.registry = NoticeRegistry(context.clock, MemoryMetrics())
    context.server = listed_server("i-1", "desk", "10.0.0.1:80", "a", 8, False)
    context.clock.time = 1_000.0
    context.registry.record(context.server, RateLimit(2.0), 900.0)
    second_answer(context, sent, seen, per_s)


@when(
    "the answer to a request sent at {sent:d} ms and answered at {seen:d} ms announces a limit "
    "of {per_s}"
)
def second_answer(context, sent, seen, per_s):
    context.clock.time = 1_000.0 + seen
    context.registry.record(context.server, RateLimit(_limit(per_s)), 1_000.0 + sent)


@then("its limit in force is {per_s}")
def limit_in_force(context, per_s):
    assert context.registry.per_s("i-1") == _limit(per_s), context.registry.limits


def _limit(text):
    return UNLIMITED if text == "none" else float(text)


@given("{number:d} instances in a ring, with link delays of {ms:d} ms")
def ring(context, number, ms):
    context.registries = [NoticeRegistry(context.clock, MemoryMetrics()) for n in range(number)]
    context.messages = 0
    context.in_transit = 0

    def announce(n, limits, source):
        for to in ((n - 1) % number, (n + 1) % number):
            if f"{to}" == source:
                continue
            context.messages += 1
            context.in_transit += 1
            ages = [one.as_ages(context.clock.now()) for one in limits]
            context.clock.call_later(float(ms), partial(receive, to, ages, f"{n}"))

    def receive(to, ages, source):
        context.in_transit -= 1
        context.registries[to].merge([one.from_ages(context.clock.now()) for one in ages], source)

    for n, registry in enumerate(context.registries):
        registry.on_announce = lambda limits, source, n=n: announce(n, limits, source)


@when(
    "one instance receives a limit of {first:g}, and {ms:d} ms later another one a limit of "
    "{second:g}"
)
def receive_two(context, first, ms, second):
    server = listed_server("i-1", "desk", "10.0.0.1:80", "a", 8, False)

    def play():
        context.clock.sleep(100.0)
        context.registries[0].record(server, RateLimit(first), context.clock.now() - 5.0)
        context.clock.sleep(float(ms))
        context.registries[2].record(server, RateLimit(second), context.clock.now() - 5.0)

    context.run(play)


@when("one instance receives a limit of {per_s:g} while its links are down, and again each second")
def receive_while_down(context, per_s):
    server = listed_server("i-1", "desk", "10.0.0.1:80", "a", 8, False)
    registry = context.registries[0]
    plain, registry.on_announce = registry.on_announce, lambda limits, source: None

    def play():
        registry.record(server, RateLimit(per_s), context.clock.now())
        registry.on_announce = plain
        for _ in range(6):
            context.clock.sleep(SECOND_MS)
            registry.record(server, RateLimit(per_s), context.clock.now() - 5.0)

    context.run(play)


@then("after {ms:d} ms all instances hold the same limit, and no message is in transit")
def hold_same_limit(context, ms):
    none_in_transit(context, ms)
    held = {registry.per_s("i-1") for registry in context.registries}
    assert len(held) == 1 and held != {UNLIMITED}, held


@then("after {ms:d} ms no message is in transit")
def none_in_transit(context, ms):
    context.run(context.clock.sleep, float(ms))
    assert context.in_transit == 0, context.messages
    assert context.messages <= 6 * len(context.registries), context.messages


@given("an instance")
def one_registry(context):
    context.registry = NoticeRegistry(context.clock, MemoryMetrics())


@when("{number:d} servers announce a limit, one every {ms:d} ms")
def many_announce(context, number, ms):
    for n in range(number):
        context.clock.time += ms
        server = listed_server(f"i-{n}", "desk", "10.0.0.1:80", "a", 8, False)
        context.registry.record(server, RateLimit(1.0), context.clock.now())
    context.number = number


@then("it keeps the last {maximum:d} limits")
def remembers(context, maximum):
    expected = {f"i-{n}" for n in range(context.number - maximum, context.number)}
    assert set(context.registry.limits) == expected, len(context.registry.limits)


@then("results are released in less than half as many calls as run pieces there")
def few_releases(context):
    calls = [one for one in context.sent if one[1].startswith("enc-")]
    assert len(context.release_calls) < len(calls) / 2, (len(context.release_calls), len(calls))


@then("no server got more than its limit allows, release calls included")
def within_with_releases(context):
    context.sent += [(at, server, 1, "") for at, server in context.release_calls]
    within_limits(context)


@given("servers s1 and s2, of which s1 has cached {tokens:d} tokens of a prompt")
def two_servers(context, tokens):
    router = Router(
        context.clock, Random(1), CostModel(), ExpectedCompletion(), MemoryMetrics(), "a"
    )
    context.placement = PromptPlacement(context.clock, router)
    context.candidates = [listed_server(name, "llm", name, "a", 8, False) for name in ("s1", "s2")]
    context.prompt = Prompt(tokens + 100, 10, (PromptPart("kept", tokens), PromptPart("own", 100)))
    context.placement.cached_parts["s1"] = OrderedDict({"kept": None})


@when("the wait is {first:d} ms for s1, and the prompt can wait {max_wait:d} ms")
def one_wait(context, first, max_wait):
    choose_between(context, {"s1": float(first)}, max_wait)


@when(
    "the wait is {first:d} ms for s1 and {second:d} ms for s2, and the prompt can wait "
    "{max_wait:d} ms"
)
def two_waits(context, first, second, max_wait):
    choose_between(context, {"s1": float(first), "s2": float(second)}, max_wait)


def choose_between(context, waits_ms, max_wait):
    context.chosen = context.placement.choose(
        context.candidates,
        context.prompt,
        ServerConstraints(max_wait_ms=float(max_wait)),
        PromptTransfer(163_840.0, 1_100_000.0),
        ServerDelays(waits_ms=waits_ms),
    )


@then("s2 gets it at once, and fetches the cached tokens from s1")
def fetches(context):
    assert context.chosen.choice.state.server.name == "s2"
    assert context.chosen.plan.source == "s1", context.chosen.plan


@when("requests that can wait {max_wait:d} ms are placed until one is refused")
def place_until_refused(context, max_wait):
    coordinator = placement_coordinator(find_coordinator(context, prompts_topic("desk")))
    context.waits = []

    def place_all():
        for n in range(100):
            order = PlacementOrder(n, "desk", EMPTY_PROMPT, (), "", float(max_wait))
            servers = coordinator.directory.available("desk")
            waits_ms = coordinator.limits.waits_ms(servers, prompts_topic("desk"))
            reply = coordinator.place(order, "a peer")
            if not reply.server:
                context.waits = [min(waits_ms.values()), reply.wait_ms]
                return

    context.run(place_all)


@then("its caller is told to retry when the wait is down to {max_wait:d} ms")
def retry_sooner(context, max_wait):
    wait_ms, retry_ms = context.waits
    assert abs(retry_ms - (wait_ms - max_wait)) < 1.0, context.waits


@when("a {kind} request comes {ms:d} ms later, and the other servers have {calls:d} calls each")
def others_crowded(context, kind, ms, calls):
    instance = find_coordinator(context, prompts_topic("desk"))
    picker = instance.forwarder.context.picker
    # The token bucket of a server fills from the first query on.
    for server in context.announced_limits:
        picker.limits.wait_ms(instance.directory.find(server), prompts_topic("desk"))
    context.run(context.clock.sleep, float(ms))
    now = context.clock.now()
    picker.probed_at["desk"] = now
    for server in instance.directory.available("desk"):
        if server.name not in context.announced_limits:
            instance.router.state(server).change_running(calls, now)
    sent = request("x", PATHS[kind], now)
    context.chosen = context.run(picker.pick, sent, "desk", 1_000.0, ServerConstraints())


@then("it goes to {server}")
def goes_to(context, server):
    assert context.chosen.choice.state.server.name == server, context.chosen


@given("server {server} is cold")
def is_cold(context, server):
    service, datacentre = context.servers[server]
    context.fleet.add_server(server, service, datacentre, born=7, cold_ms=60_000.0)
    context.cold = server
    context.run(context.clock.sleep, 100.0)


@when("a {kind} request that can wait {max_wait:d} ms is due to probe it")
def due_to_probe(context, kind, max_wait):
    instance = find_coordinator(context, prompts_topic("desk"))
    picker = instance.forwarder.context.picker
    picker.probed_at.clear()
    sent = request("x", PATHS[kind], context.clock.now())
    constraints = ServerConstraints(max_wait_ms=float(max_wait))
    context.chosen = context.run(picker.pick, sent, "desk", 2_000.0, constraints)


@then("another server gets it at once")
def goes_to_free(context):
    name = context.chosen.choice.state.server.labels[ID_LABEL]
    assert name not in {*context.announced_limits, context.cold}, name
    assert context.chosen.ready_at <= context.clock.now()


@when("a caller disconnects while the stages of its request run")
def disconnects_in_stages(context):
    name = next(iter(context.fleet.instances))

    def play():
        coordinator_instance = find_coordinator(context, prompts_topic("llm"))
        coordinator_instance.limits.waits_ms(
            coordinator_instance.directory.available("llm"), prompts_topic("llm")
        )
        context.clock.sleep(1_500.0)
        sent = request(f"{name}/leaving", PATHS["staged"], context.clock.now())
        task = gevent.spawn(serve, context, name, sent)
        context.clock.sleep(100.0)
        assert placement_coordinator(coordinator_instance).placed
        task.kill()
        context.clock.sleep(100.0)

    context.run(play)


@then("the placement coordinator counts no prompt any more")
def none_counted(context):
    coordinator = placement_coordinator(find_coordinator(context, prompts_topic("llm")))
    assert not coordinator.placed and not coordinator.placement.pending_tokens, coordinator.placed


@when(
    "{number:d} staged requests come, and {ms:d} ms later all llm servers announce a limit of 1 "
    "request a second"
)
def limit_during_stages(context, number, ms):
    names = list(context.fleet.instances)

    def play():
        tasks = []
        for n in range(number):
            sent = request(f"{names[n]}/{n}", PATHS["staged"], context.clock.now())
            tasks.append(gevent.spawn(serve, context, names[n], sent))
        context.clock.sleep(float(ms))
        instance = context.fleet.instances[names[0]]
        for server in of_service(context, "llm"):
            instance.limits.registry.record(
                instance.directory.find(server), RateLimit(1.0), context.clock.now()
            )
        gevent.joinall(tasks)

    context.run(play)


@then("all {number:d} are answered")
def all_answered(context, number):
    assert [end[0] for end in context.ends.values()] == [200] * number, context.ends


@when("{number:d} staged requests come one after the other, {ms:d} ms later")
def one_by_one(context, number, ms):
    coordinator_instance = find_coordinator(context, "enc")
    coordinator_instance.limits.wait_ms(coordinator_instance.directory.find("enc-0"), "enc")
    context.run(context.clock.sleep, float(ms))
    send(context, 2, "staged", number * SECOND_MS / 2)


def token_buckets(context, server):
    """Create the token bucket of a server at the coordinator, and return all of its buckets."""
    coordinator_instance = find_coordinator(context, prompts_topic("desk"))
    coordinator_instance.limits.wait_ms(
        coordinator_instance.directory.find(server), prompts_topic("desk")
    )
    return coordinator_instance.limits.buckets


@then("only {server} has a token bucket")
def only_bucket(context, server):
    assert set(token_buckets(context, server)) == {server}


@then("{server} gets no call")
def gets_no_call(context, server):
    assert len(context.ends) and not arrivals(context, server), arrivals(context, server)


@then("over {percent:d} of 100 refusals came within {ms:d} ms")
def refused_at_once(context, percent, ms):
    held = [
        context.ended_at[id_] - context.arrived[id_]
        for id_, end in known_ends(context).items()
        if end[0] != 200
    ]
    at_once = sum(one <= ms for one in held)
    assert held and at_once > percent / 100 * len(held), (at_once, len(held), sorted(held)[-5:])


@then("over {minimum:d} requests were answered")
def number_answered(context, minimum):
    good = sum(end[0] == 200 for end in context.ends.values())
    assert good > minimum, (good, len(context.ends))


@when("a single staged request comes {ms:d} ms later")
def single_later(context, ms):
    coordinator_instance = find_coordinator(context, "enc")
    for server in of_service(context, "enc"):
        coordinator_instance.limits.wait_ms(coordinator_instance.directory.find(server), "enc")
    context.run(context.clock.sleep, float(ms))
    send(context, 1, "staged", SECOND_MS)


@then("it is answered on time")
def answered_on_time(context):
    (end,), (took,) = context.ends.values(), context.took.values()
    assert end[0] == 200 and took <= TARGET_MS, (end, took)


@given("a result of a stage takes {size:d} of the 100 MB that a server has")
def large_results(context, size):
    plain = catalogue(3)
    large = tuple(
        replace(one, stages=tuple(replace(stage, result_bytes=size * 1e6) for stage in one.stages))
        for one in plain.routes["desk.x"]
    )
    context.fleet.configure(replace(plain, routes={"desk.x": large}))
    context.run(context.clock.sleep, 300.0)


@then("no server got more than {maximum:d} requests in 4 s, release calls included")
def in_span(context, maximum):
    for server, (since, _) in limited(context).items():
        times = [at for at in arrivals(context, server) if at >= since + EFFECTIVE_MS]
        times += [
            at
            for at, name in context.release_calls
            if name == server and at >= since + EFFECTIVE_MS
        ]
        got = max_within(times, SPAN_S * SECOND_MS)
        assert times and got <= maximum, (server, got)


@when(
    "{rate:d} staged requests a second come for {ms:d} ms, and for {more:d} ms more without a "
    "limit"
)
def lift_limit(context, rate, ms, more):
    send(context, rate, "staged", ms)
    batcher = find_coordinator(context, "enc").dispatch.batchers["enc"]
    batcher.releaser.held.setdefault("enc-1", []).append("enc-1/lapsed")
    context.fleet.upstream.limits.clear()
    send(context, rate, "staged", more, label="later-")
    context.run(context.clock.sleep, SECOND_MS)


@then("no release is held back, and the server has no token bucket")
def none_held(context):
    coordinator_instance = find_coordinator(context, "enc")
    assert not coordinator_instance.dispatch.batchers["enc"].releaser.held
    coordinator_instance.limits.wait_ms(coordinator_instance.directory.find("enc-1"), "enc")
    assert not coordinator_instance.limits.buckets
