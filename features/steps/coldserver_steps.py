# coldserver_steps.py -- Steps about backend servers that have just started
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about backend servers that have just started."""

import json
from dataclasses import replace
from types import SimpleNamespace

from behave import given, then, when
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
from mountladder_platform.decoding import decode_server
from mountladder_platform.reading import read_cold_ms

from mountladder.forwarding.placementorder import PlacementOrder
from mountladder.forwarding.prompt import Prompt
from mountladder.forwarding.promptpart import PromptPart
from mountladder.forwarding.ranking import prompts_topic
from mountladder.forwarding.sourcerow import SourceRow
from mountladder.store.position import Position

COLD_MS = 3_000.0
# A cached shared prompt part would outweigh that a server is cold.
UNSHARED = Prompt(1_000, 30, (PromptPart("own", 1_000),))
SETTLE_MS = 1_500.0
LISTED_MS = 300.0
# After this time silent links are detected.
CUT_MS = 2_500.0


@given(
    "a fleet of {number:d} instances in data centres a, b, c whose cold servers take {rate:d} "
    "requests a second"
)
def cold_fleet(context, number, rate):
    plain = catalogue(2)
    services = {
        name: replace(one, cold_ms=COLD_MS, cold_per_s=float(rate), health_path="/health")
        for name, one in plain.services.items()
    }
    context.fleet.configure(replace(plain, services=services))
    for n in range(number):
        context.fleet.start(f"{'abc'[n % 3]}-{n}")
    context.run(context.clock.sleep, SETTLE_MS)
    context.cold_since = {}
    record_sends(context)


@given("{number:d} servers of each of the services desk, llm, enc in data centres a, b, c")
def servers(context, number):
    context.servers = {}
    for service in ("desk", "llm", "enc"):
        for n in range(3 * number):
            name, datacentre = f"{service}-{n}", "abc"[n % 3]
            context.servers[name] = (service, datacentre)
            context.fleet.add_server(name, service, datacentre)
    context.run(context.clock.sleep, LISTED_MS)


def turn_cold(context, names, born=7):
    for name in names:
        service, datacentre = context.servers[name]
        context.cold_since[name] = context.clock.now()
        context.fleet.add_server(name, service, datacentre, born=born, cold_ms=COLD_MS)


def cold_then_send(context, names, before, per_s, kind, ms):
    turn_cold(context, names)
    context.run(context.clock.sleep, float(before))
    send_steadily(context, per_s, kind, ms)


@when(
    "server {name} restarts cold, {before:d} ms before {per_s:d} {kind} requests a second for "
    "{ms:d} ms"
)
def one_cold(context, name, before, per_s, kind, ms):
    cold_then_send(context, [name], before, per_s, kind, ms)


@when("server {name} restarts cold, and its entry is missing from {after:d} ms on")
def cold_and_missing(context, name, after):
    turn_cold(context, [name])
    context.run(context.clock.sleep, float(after))
    context.fleet.servers.put(name, None)
    context.run(context.clock.sleep, float(after))


@when("{per_s:d} {kind} requests a second follow for {ms:d} ms")
def some_follow(context, per_s, kind, ms):
    send_steadily(context, per_s, kind, ms)


@when(
    "all {service} servers of data centre {there:w} restart cold, {before:d} ms before {per_s:d} "
    "{kind} requests a second for {ms:d} ms"
)
def datacentre_cold(context, service, there, before, per_s, kind, ms):
    names = [name for name, one in context.servers.items() if one == (service, there)]
    cold_then_send(context, names, before, per_s, kind, ms)


@when(
    "all {service:w} servers restart cold, {before:d} ms before {per_s:d} {kind} requests a "
    "second for {ms:d} ms"
)
def all_cold(context, service, before, per_s, kind, ms):
    names = [name for name, one in context.servers.items() if one[0] == service]
    cold_then_send(context, names, before, per_s, kind, ms)


def while_cold(context, name):
    """Return when a server was sent requests while it was cold, once per request."""
    since = context.cold_since[name]
    return [
        at
        for at, server, number, _ in context.sent
        for _ in range(number)
        if server == name and since <= at < since + COLD_MS
    ]


@then("no cold server got more than {maximum:d} requests within a second")
def within_second(context, maximum):
    for name in context.cold_since:
        found = max_within(while_cold(context, name), SECOND_MS)
        assert found <= maximum, (name, found)


@then("cold servers got over {minimum:d} requests a second each")
def used(context, minimum):
    for name in context.cold_since:
        got = len(while_cold(context, name))
        assert got > minimum * 2, (name, got)


@then("over {minimum:d} of 100 requests were answered")
def answered(context, minimum):
    good = sum(end[0] == 200 and not end[2] for end in context.ends.values())
    assert good > minimum / 100 * len(context.ends), (good, len(context.ends))


@then("server {name} got no request while it was cold")
def none_while_cold(context, name):
    assert not while_cold(context, name)


@then("every request that was not served was reported as not run")
def refused_not_run(context):
    lost = [end for end in context.ends.values() if end[0] != 200]
    assert lost and {end[3] for end in lost} == {"not_run"}


@given(
    "{number:d} instances are cut off from all others, and each considers itself the coordinator"
)
def isolate(context, number):
    names = list(context.fleet.instances)
    context.isolated = names[:number]
    for name in context.isolated:
        for other in names:
            if other != name:
                context.fleet.network.cut_instances.add(frozenset({name, other}))
    context.run(context.clock.sleep, CUT_MS)
    for name in context.isolated:
        assert context.fleet.instances[name].fleet.coordinator(prompts_topic("llm")) is None


@then("those {number:d} sent cold servers nothing")
def isolated_sent_nothing(context, number):
    assert number == len(context.isolated)
    senders = {by for _, server, _, by in context.sent if server in context.cold_since}
    assert senders and not senders & set(context.isolated), senders


@given("the fourth candidate for placement coordinator cannot reach the first three")
def cut_fourth_candidate(context):
    any_ = next(iter(context.fleet.instances.values()))
    *better, fourth = (one.name for one in any_.fleet.coordinators.ranked(prompts_topic("llm"))[:4])
    for first in better:
        context.fleet.network.cut_instances.add(frozenset({fourth, first}))
    context.run(context.clock.sleep, CUT_MS)
    context.fourth = context.fleet.instances[fourth]


@then("it considers itself the coordinator, and yet sends cold servers nothing")
def does_not_lead_cold(context):
    topic = prompts_topic("llm")
    assert context.fourth.fleet.coordinator(topic) is None
    assert not context.fourth.cold.leadership.leads(topic)


@when("server llm-1, which a prompt would go to, becomes cold")
def prompt_server_cold(context):
    instance = find_coordinator(context, prompts_topic("llm"))
    context.coordinator = placement_coordinator(instance)
    order = PlacementOrder(1, "llm", UNSHARED, (), "")
    context.first = context.coordinator.place(order, "a peer").server
    turn_cold(context, [context.first], born=0)
    context.run(context.clock.sleep, 100.0)


@when(
    "{number:d} prompts are placed among {few:d} and then among {many:d} servers, some of them "
    "cold"
)
def clock_readings(context, number, few, many):
    instance = find_coordinator(context, prompts_topic("llm"))
    coordinator = placement_coordinator(instance)
    plain, context.readings = context.clock.now, []

    def count_readings():
        """Place prompts, and return how often the cold limit read the clock, per prompt."""
        read = []
        coordinator.cold.clock = SimpleNamespace(now=lambda: read.append(1) or plain())
        for n in range(number):
            coordinator.place(PlacementOrder(n, "llm", UNSHARED, (), ""), "a peer")
        return len(read) / number

    turn_cold(context, ["llm-1"], born=0)
    context.run(context.clock.sleep, 100.0)
    context.readings.append(count_readings())
    for n in range(few, many):
        context.servers[f"llm-{n}"] = ("llm", "abc"[n % 3])
        context.fleet.add_server(f"llm-{n}", "llm", "abc"[n % 3])
    context.run(context.clock.sleep, 100.0)
    assert len(instance.directory.available("llm")) == many
    context.readings.append(count_readings())


@then("each placement read the clock at most {maximum:d} times")
def few_readings(context, maximum):
    before, after = context.readings
    assert after <= maximum and before <= maximum, context.readings


@then("the prompt goes to another server")
def goes_elsewhere(context):
    context.coordinator.placement.cached_parts.clear()
    context.coordinator.placement.pending_tokens.clear()
    context.coordinator.placement.running_prompts.clear()
    reply = context.coordinator.place(PlacementOrder(2, "llm", UNSHARED, (), ""), "a peer")
    assert reply.server != context.first, reply


@given("the placement coordinator and half of the other instances cannot reach each other")
def two_coordinators(context):
    first = find_coordinator(context, prompts_topic("llm")).settings.name
    others = [name for name in context.fleet.instances if name != first]
    for name in others[::2]:
        context.fleet.network.cut_instances.add(frozenset({name, first}))
    context.run(context.clock.sleep, CUT_MS)


@when(
    "all {service:w} servers restart cold, {before:d} ms before an instance starts that knows no "
    "others"
)
def starts_alone(context, service, before):
    turn_cold(context, [name for name, one in context.servers.items() if one[0] == service])
    context.run(context.clock.sleep, float(before))
    for other in context.fleet.instances:
        context.fleet.network.cut_instances.add(frozenset({"a-new", other}))
    context.fleet.instance_list.history.clear()

    def start():
        instance = context.fleet.start("a-new")
        instance.fleet.seeds = ()
        while not instance.ready:
            context.clock.sleep(1.0)
        for n in range(20):
            serve(context, "a-new", request(f"a-new/{n}", PATHS["stream"], context.clock.now()))
            context.clock.sleep(40.0)

    context.run(start)


@then("that instance sends them nothing in its first second")
def alone_sent_nothing(context):
    assert len(context.ends) == 20
    assert not [one for one in context.sent if one[3] == "a-new"]


@when(
    "server {name} restarts cold, {before:d} ms before an instance starts while the store is down"
)
def starts_later(context, name, before):
    turn_cold(context, [name])
    context.run(context.clock.sleep, float(before))
    context.fleet.catalogue.down = context.fleet.servers.down = True
    context.fleet.start("a-new")
    context.run(context.clock.sleep, 100.0)


@then("every instance considers {name} cold for {minimum:d} to {maximum:d} ms more")
def cold_for(context, name, minimum, maximum):
    for instance in context.fleet.instances.values():
        until = instance.directory.cold_until[name]
        assert minimum <= until - context.clock.now() <= maximum, until - context.clock.now()


def considered_cold(context):
    """Return what each instance considers cold, as (instance, service, data centre)."""
    found = set()
    for name, instance in context.fleet.instances.items():
        for service in ("desk", "llm", "enc"):
            for server in instance.directory.available(service):
                if instance.cold.is_cold(server):
                    found.add((name, service, server.datacentre))
    return found


@then("every instance considers the {service} servers of data centre {there:w} cold")
def all_consider_cold(context, service, there):
    expected = {(name, service, there) for name in context.fleet.instances}
    found = considered_cold(context)
    assert expected <= found, expected - found
    assert {one[2] for one in found} == {there}


@then("no instance considers any server cold")
def none_considers_cold(context):
    assert not considered_cold(context)


@when("an entry says that the server stays cold for {reported:d} ms")
def entry_with_cold_time(context, reported):
    entry = {
        "service": "llm",
        "address": "10.0.0.1:80",
        "zone": "a",
        "version": "v1",
        "concurrency": 8,
        "phase": "ready",
        "cold_remaining_ms": reported,
        "sequence": 4,
    }
    row = SourceRow("i-1", json.dumps(entry).encode(), Position(0, 7))
    context.record = decode_server(row)


@then("its record says that it is cold for {expected_ms:d} ms")
def record_is_cold_for(context, expected_ms):
    assert (context.record.cold_ms, context.record.sequence) == (expected_ms, 4)


@given("the llm servers of data centre a answer health checks with {answer} ms")
def health_answers(context, answer):
    context.asked = [name for name, one in context.servers.items() if one == ("llm", "a")]
    if answer != "no":
        context.fleet.upstream.reported_cold_ms = dict.fromkeys(context.asked, float(answer))


@then("each of them was asked once, by the placement coordinator alone")
def asked_once(context):
    found = [one for one in context.fleet.upstream.health_checks if one in context.asked]
    assert sorted(found) == sorted(context.asked), found


@then("the placement coordinator considers them {state:w}")
def considered(context, state):
    instance = find_coordinator(context, prompts_topic("llm"))
    servers = [one for one in instance.directory.available("llm") if one.name in context.asked]
    cold = instance.cold.cold(servers)
    assert len(servers) == len(context.asked), servers
    assert len(cold) == (len(servers) if state == "cold" else 0), cold


@then("the cold time {text} of a health answer is read as {cold_ms}")
def cold_time(context, text, cold_ms):
    found = read_cold_ms(None if text == "absent" else text)
    assert str(found) == cold_ms, found
