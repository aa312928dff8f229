# speedexchange_steps.py -- Steps about learnt speeds in a fleet of instances
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about learnt speeds in a fleet of instances."""

import math
from dataclasses import replace

import gevent
from behave import given, then, when
from forwardbasics import (
    PATHS,
    catalogue,
    find_coordinator,
    fleets_with_and_without,
    request,
    serve,
)

from mountladder.forwarding.prompt import Prompt
from mountladder.forwarding.promptpart import PromptPart
from mountladder.forwarding.ranking import prompts_topic
from mountladder.forwarding.stagejob import StageJob
from mountladder.performance.serverspeed import ServerSpeed
from mountladder.performance.serverspeeds import ServerSpeeds
from mountladder.performance.worktype import WorkType
from mountladder_standins import localupstream

SETTLE_MS = 1_200.0
# More than an instance needs to measure the pace of a stream.
EVENTS = 12
REQUESTS_PER_S = 20


@given("learn_speeds is off")
def switched_off(context):
    context.fleet.switches["learn_speeds"] = False


@given(
    "{stages:d} stage servers and {models:d} model servers,"
    " of which enc-0 and llm-0 take {times:g} times as long"
)
def staged_fleet(context, stages, models, times):
    context.stack.callback(setattr, localupstream, "EVENTS", localupstream.EVENTS)
    localupstream.EVENTS = EVENTS
    add_servers(context.fleet, stages, models)
    slow_down(context.fleet.upstream, {"enc-0": times, "llm-0": times})
    context.run(context.clock.sleep, SETTLE_MS)


def add_servers(fleet, stages, models):
    for number in range(stages):
        fleet.add_server(f"enc-{number}", "enc", "a")
    for number in range(models):
        fleet.add_server(f"llm-{number}", "llm", "a")


def slow_down(upstream, factors):
    """Have servers take a multiple of the usual time for work and between events."""
    work, answer = upstream.work, upstream.answer

    def slow_work(server, ms, contents):
        work(server, ms * factors.get(server.name, 1.0), contents)

    def slow_answer(server, call, fault):
        found = answer(server, call, fault)
        found.pause_ms *= factors.get(server.name, 1.0)
        return found

    upstream.work, upstream.answer = slow_work, slow_answer


def send_series(context, seconds):
    names = list(context.fleet.instances)

    def send(number):
        context.clock.sleep(number * 1_000.0 / REQUESTS_PER_S)
        # Prompts with the same shared part go to the same server.
        prompt = Prompt(1_000, 30, (PromptPart(f"shared-{number}", 800), PromptPart("own", 200)))
        now = context.clock.now()
        sent = replace(request(f"r{number}", PATHS["staged"], now), prompt=prompt)
        serve(context, names[number % len(names)], sent)

    tasks = [gevent.spawn(send, number) for number in range(seconds * REQUESTS_PER_S)]
    context.run(gevent.joinall, tasks)


@when("staged requests come for {seconds:d} s over all instances")
def staged_series(context, seconds):
    send_series(context, seconds)
    assert {end[0] for end in context.ends.values()} == {200}, context.ends


def candidates(context, topic):
    """Return the coordinator of a topic, its standby and the other instances."""
    coordinator = find_coordinator(context, topic)
    ranked = [one.name for one in coordinator.fleet.coordinators.ranked(topic)]
    return [context.fleet.instances[name] for name in ranked]


def paces(instance, service):
    return instance.router.speeds.paces.get(service, {})


@then("the coordinator and the standby of {topic} know that {name} takes {times:g} times")
def both_know(context, topic, name, times):
    service = name.partition("-")[0]
    key = "enc" if topic == "service enc" else prompts_topic("llm")
    for instance in candidates(context, key)[:2]:
        known = {one: pace.factor for one, pace in paces(instance, service).items()}
        found = known.pop(name)
        assert abs(found / times - 1.0) < 0.15, (instance.settings.name, found)
        assert set(known.values()) == {1.0}, (instance.settings.name, known)


@then("no other instance was sent speeds of service enc")
def no_other(context):
    for instance in candidates(context, "enc")[2:]:
        assert not any(pace.learnt.samples for pace in paces(instance, "enc").values())
    context.sent = sent(context)


def sent(context):
    instances = context.fleet.instances.values()
    return sum(one.metrics.counts["speeds_sent"] for one in instances)


@then("only coordinators have sent speeds")
def only_coordinators(context):
    coordinators = {candidates(context, one)[0] for one in ("enc", prompts_topic("llm"))}
    senders = {one for one in context.fleet.instances.values() if one.metrics.counts["speeds_sent"]}
    assert senders == coordinators, [one.settings.name for one in senders]


@then("the coordinator of the prompts has measured pauses of about {ms:g} ms between events")
def pauses_measured(context, ms):
    coordinator = candidates(context, prompts_topic("llm"))[0]
    usual = coordinator.router.speeds.usual["llm", WorkType.EVENTS]
    assert abs(math.exp(usual.level) / ms - 1.0) < 0.15, usual


@when(
    "the coordinator of service enc knows that {name} takes {times:g} times as long as the others"
)
def coordinator_learns(context, name, times):
    learn(find_coordinator(context, "enc"), "enc", {name: times})


@when("it is given a stage of {pieces:d} pieces")
def given_stage(context, pieces):
    now = context.clock.now()
    job = StageJob("r", 0, "enc", pieces, "key", (), now + 9_000.0, now + 9_000.0, 1, 8.0, "a")
    coordinator = find_coordinator(context, "enc")
    context.run(coordinator.dispatch.submit, job, lambda results: None)
    context.run(context.clock.sleep, 10.0)


@then("the calls to enc-0 have {fewer:d} pieces, and the first ones to others {pieces:d}")
def pieces_of_calls(context, fewer, pieces):
    calls = [(one.server, len(one.pieces)) for one in context.fleet.upstream.piece_calls]
    assert sorted(calls) == [("enc-0", fewer), *((f"enc-{n}", pieces) for n in range(1, 6))], calls


@then("the coordinator of service enc assumes a spell of enc-0 alone")
def spell_of_one(context):
    known = paces(find_coordinator(context, "enc"), "enc")
    slow = [name for name, pace in known.items() if pace.spell_at(context.clock.now()) > 1.0]
    assert slow == ["enc-0"], slow


@when("a plain request is sent to a-1")
def plain_request(context):
    context.run(serve, context, "a-1", request("plain", PATHS["safe"], context.clock.now()))


@then("a-1 has measured plain calls of service desk only")
def measured_plain(context):
    usual = context.fleet.instances["a-1"].router.speeds.usual
    assert [service for service, work in usual if work is WorkType.PLAIN] == ["desk"], usual


@then("no speeds were sent in that time")
def none_sent(context):
    assert context.sent == sent(context) > 0, sent(context)


def learn(instance, service, factors):
    servers = {one.name: one for one in instance.directory.available(service)}
    for _ in range(30):
        for name, server in servers.items():
            instance.router.speeds.record(server, WorkType.CALL, factors.get(name, 1.0))
    instance.router.speeds.refresh(service, instance.clock.now())


@when(
    "a coordinator in data centre a knows that {name} takes {times:g} times as long as the others"
)
def coordinator_knows(context, name, times):
    learn(find_coordinator(context, "enc", "a"), "enc", {name: times})


@then("the coordinator in data centre b knows it too")
def other_knows(context):
    coordinator = find_coordinator(context, "enc", "b")
    factor = paces(coordinator, "enc")["enc-b0"].factor
    assert abs(factor / 1.7 - 1.0) < 0.1, factor


@when("the coordinator of service enc has learnt the speed of {number:d} servers")
def many_learnt(context, number):
    assert len(find_coordinator(context, "enc").directory.available("enc")) == number
    learn(find_coordinator(context, "enc"), "enc", {})


@then("its standby was sent {number:d} of them")
def standby_was_sent(context, number):
    known = paces(candidates(context, "enc")[1], "enc").values()
    assert sum(one.learnt.samples > 0 for one in known) == number


@when("its standby restarts")
def standby_restarts(context):
    name = candidates(context, "enc")[1].settings.name
    context.fleet.instances.pop(name).close()
    context.fleet.start(name)


@when("enc-0 is gone")
def server_gone(context):
    context.fleet.servers.put("enc-0", None)
    context.run(context.clock.sleep, 3_500.0)


@when("the entry of enc-0 has been missing for 500 ms")
def server_missing(context):
    context.fleet.servers.put("enc-0", None)
    context.run(context.clock.sleep, 500.0)


@then("the coordinator of service enc still knows that enc-0 takes 1.7 times as long")
def still_known(context):
    coordinator = candidates(context, "enc")[0]
    assert "enc-0" not in coordinator.directory.names()
    found = paces(coordinator, "enc")["enc-0"].factor
    assert abs(found / 1.7 - 1.0) < 0.15, found


@then("no instance knows anything of enc-0")
def nothing_known(context):
    for instance in context.fleet.instances.values():
        assert "enc-0" not in paces(instance, "enc"), instance.settings.name


@when("another instance sends speeds to a-1")
def speeds_sent(context):
    fleet = context.fleet.instances["a-1"].fleet
    speeds = ServerSpeeds("enc", (ServerSpeed("enc-0", 1.7, 99, 0.0),))
    fleet.dispatch(speeds, next(iter(fleet.links.values())))


@then("every server counts as usual at every instance")
def all_usual(context):
    for instance in context.fleet.instances.values():
        states = instance.router.states.values()
        assert {one.pace.expected_factor(context.clock.now()) for one in states} <= {1.0}
        assert instance.router.speeds is None
    assert sent(context) == 0


@given("a series of staged requests over 6 equal stage servers and 4 equal model servers")
def equal_series(context):
    context.stack.callback(setattr, localupstream, "EVENTS", localupstream.EVENTS)
    localupstream.EVENTS = EVENTS


@when("it is sent with learn_speeds on and off")
def on_and_off(context):
    context.calls = []
    for fleet in fleets_with_and_without(context, "learn_speeds"):
        fleet.configure(catalogue(1))
        for name in ("a-1", "a-2", "b-1"):
            fleet.start(name)
        add_servers(fleet, 6, 4)
        context.run(context.clock.sleep, SETTLE_MS)
        send_series(context, 6)
        assert {end[0] for end in context.ends.values()} == {200}, context.ends
        calls = [(one.server, one.at, one.pieces) for one in fleet.upstream.piece_calls]
        context.calls.append((calls, dict(fleet.upstream.arrivals)))


@then("every call went to the same server at the same time with the same pieces")
def same_calls(context):
    on, off = context.calls
    assert on == off
    assert len(on[0]) > 50, len(on[0])
