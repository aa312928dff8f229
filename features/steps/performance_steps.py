# performance_steps.py -- Steps about the learnt speed of backend servers
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about the learnt speed of backend servers."""

import math
import random
from types import SimpleNamespace

from behave import given, then, when
from forwardbasics import BATCH, PROMPT, NoLimits, NoRooms
from logrecorder import record_lines

from mountladder.clocks.virtualclock import VirtualClock
from mountladder.configuration.stage import Stage
from mountladder.forwarding.batchrun import BatchRun
from mountladder.forwarding.placementcoordinator import PlacementCoordinator
from mountladder.forwarding.placementnote import PlacementNote
from mountladder.forwarding.placementorder import PlacementOrder
from mountladder.forwarding.prompt import Prompt
from mountladder.forwarding.serverrecord import listed_server
from mountladder.forwarding.stagecallstate import StageCallState
from mountladder.forwarding.stageservers import StageServers
from mountladder.metrics.memorymetrics import MemoryMetrics
from mountladder.notices.currentspeed import CurrentSpeed
from mountladder.notices.noticedispatcher import NoticeDispatcher
from mountladder.performance.decisions import call_pieces
from mountladder.performance.eventpace import EventPace
from mountladder.performance.serverspeed import ServerSpeed
from mountladder.performance.speedtable import SpeedTable
from mountladder.performance.worktype import WorkType
from mountladder.routing.costmodel import CostModel
from mountladder.routing.expectedcompletion import ExpectedCompletion
from mountladder.routing.router import Router

SERVICE = "llm"
CALL = Stage("desk", "call", "desk", "", (), False, False, 0.0)


def make_servers(context, factors):
    """Make servers by name with their true factors, a speed table and a router that uses it."""
    context.clock = VirtualClock()
    context.cold = set()
    context.rng = random.Random(1)
    context.factors = factors
    context.servers = {
        name: listed_server(name, SERVICE, f"{name}:1", "a", 8, False) for name in factors
    }
    context.speeds = SpeedTable(
        context.clock, MemoryMetrics(), lambda server: server.name in context.cold
    )
    context.router = Router(
        context.clock, context.rng, CostModel(), ExpectedCompletion(), MemoryMetrics()
    )
    context.router.learn_speeds(context.speeds)
    for server in context.servers.values():
        context.router.state(server)


def pace(context, name):
    return context.router.states[name].pace


def work(context, name, times=1.0, kind=WorkType.CALL):
    ratio = context.factors[name] * times
    context.speeds.record(context.servers[name], kind, ratio)


def pass_ms(context, ms):
    context.clock.time += ms


def all_work(context, rounds, spread=0.0, pause_ms=0.0):
    for _ in range(rounds):
        pass_ms(context, 300.0)
        for name in context.servers:
            times = math.exp(context.rng.gauss(0.0, spread))
            work(context, name, times)
            if pause_ms:
                work(context, name, times * pause_ms, WorkType.EVENTS)


def know(context, **factors):
    """Have the table know the factors of servers, besides some usual ones."""
    usual = {f"server-{number}": 1.0 for number in range(5)}
    make_servers(context, usual | factors)
    all_work(context, 12)


@given("{number:d} servers of a service that take the usual time, and x at {times:g} times that")
def servers_and_x(context, number, times):
    make_servers(context, {f"server-{n}": 1.0 for n in range(number)} | {"x": times})


@given("{number:d} servers of a service that take the usual time")
def equal_servers(context, number):
    make_servers(context, {f"server-{n}": 1.0 for n in range(number)})


@given("{number:d} servers of a service that take {times:g} times the usual time")
def all_slow(context, number, times):
    make_servers(context, {f"server-{n}": times for n in range(number)})


@when("each of them does work {rounds:d} times")
@given("each of them has done work {rounds:d} times")
def step_work(context, rounds):
    all_work(context, rounds)


@when("each of them does work {rounds:d} times, each time also measured as a pause of {ms:g} ms")
def step_work_pauses(context, rounds, ms):
    all_work(context, rounds, pause_ms=ms)


@when("each of them does work {rounds:d} times, with times that vary by half")
@given("each of them has done work {rounds:d} times, with times that vary by half")
def step_work_varying(context, rounds):
    all_work(context, rounds, spread=0.5)


@given("for 600 ms of each 4 s one after the other takes 2.5 times as long")
def spells(context):
    context.has_spells = True


@when("x does work {rounds:d} more times")
def x_works(context, rounds):
    for _ in range(rounds):
        pass_ms(context, 300.0)
        work(context, "x")


@when("each of them does work 4 times a second for 40 s")
def work_with_spells(context):
    context.not_one = set()
    for quarter in range(160):
        pass_ms(context, 250.0)
        for number, name in enumerate(context.servers):
            is_in_spell = (quarter * 250.0 + number * 430.0) % 4_000.0 < 600.0
            work(context, name, 2.5 if is_in_spell else 1.0)
        if quarter >= 10:
            context.not_one |= {n for n in context.servers if pace(context, n).factor != 1.0}


@then("the lasting factor of x is about {factor:g}, and that of the others exactly 1.0")
def factor_and_others(context, factor):
    about(context, factor)
    others = {name: pace(context, name).factor for name in context.servers if name != "x"}
    assert set(others.values()) == {1.0}, others


@then(
    "the lasting factor of x is about {factor:g}, and that of the others exactly 1.0 all the time"
)
def factor_all_the_time(context, factor):
    about(context, factor)
    assert context.not_one == {"x"}, context.not_one


@then("the lasting factor of x is about {factor:g}")
def about(context, factor):
    found = pace(context, "x").factor
    assert abs(math.log(found / factor)) < math.log(1.1), found


@then("the lasting factor of {name} is exactly {factor:g}")
def exactly(context, name, factor):
    assert pace(context, name).factor == factor, pace(context, name).factor


@then("all lasting factors are exactly 1.0")
def all_one(context):
    few_differ(context, 0)


@then("at most {number:d} of the lasting factors is not exactly 1.0")
def few_differ(context, number):
    factors = [pace(context, name).factor for name in context.servers]
    assert sum(one != 1.0 for one in factors) <= number, factors


@given("x is cold")
def x_cold(context):
    context.cold.add("x")


@when("work on {name} takes {times:g} times as long as usual")
def slow_work(context, name, times):
    context.speeds.record(context.servers[name], WorkType.CALL, times)


@when("overdue work on {name} has taken {times:g} times as long as usual")
def overdue_work(context, name, times):
    context.speeds.record_overdue(context.servers[name], WorkType.CALL, times)


@then("{name} is assumed to be in a spell")
def in_spell(context, name):
    now = context.clock.now()
    state = context.router.states[name]
    assert pace(context, name).spell_at(now) > 1.8
    assert state.time_factor(now) > 1.8 * pace(context, name).factor


@then("{name} is not assumed to be in a spell")
def not_in_spell(context, name):
    assert pace(context, name).spell_at(context.clock.now()) == 1.0


@then("{name} is not assumed to be in a spell {ms:g} ms later")
def not_later(context, name, ms):
    pass_ms(context, ms)
    not_in_spell(context, name)


@when("{name} reports {number:d} times that work takes {times:g} times as long at present")
def reports(context, name, number, times):
    links = SimpleNamespace(subscribe=lambda kind, take: None, accept_listeners=[])
    directory = SimpleNamespace(names=frozenset, rebuild=lambda: None)
    dispatcher = NoticeDispatcher(links, directory, context.router, context.clock, MemoryMetrics())
    for _ in range(number):
        dispatcher.dispatch(context.servers[name], [CurrentSpeed(times)], 0.0)


@when(
    "another coordinator reports that x takes {times:g} times as long,"
    " by {samples:d} samples {age:g} ms old"
)
def other_reports(context, times, samples, age):
    context.speeds.merge(SERVICE, [ServerSpeed("x", times, samples, age)])


@when("an instance that knows nothing is sent the speeds")
def send_to_new(context):
    context.receiver = SpeedTable(context.clock, MemoryMetrics(), lambda server: False)
    context.receiver.merge(SERVICE, context.speeds.speeds(SERVICE))


@then("it assumes no more servers to differ than the sender")
def no_more_differ(context):
    sent = {one.server for one in context.speeds.paces[SERVICE].values() if one.factor != 1.0}
    received = context.receiver.paces[SERVICE].values()
    assert len(received) == len(context.servers)
    assert {one.server for one in received if one.factor != 1.0} <= sent


@when("that instance measures {number:d} times of work that vary by half")
def receiver_measures(context, number):
    servers = list(context.servers.values())
    for measured in range(number):
        pass_ms(context, 20.0)
        times = math.exp(context.rng.gauss(0.0, 0.5))
        context.receiver.record(servers[measured % len(servers)], WorkType.CALL, times)


@then("it finds at most {number:d} spells")
def few_spells(context, number):
    found = context.receiver.metrics.counts["spells"]
    assert found <= number, found


@when("each of them does work {rounds:d} times, which also counts for its slowness")
def work_and_slowness(context, rounds):
    context.expected = []
    for _ in range(rounds):
        for name, state in context.router.states.items():
            ratio = context.factors[name] / state.pace.factor
            now = context.clock.now()
            state.record_time_ratio(ratio, now, now)
        all_work(context, 1)
        context.expected.append(context.router.states["x"].time_factor(context.clock.now()))


@then("x was never expected to take more than {times:g} times as long")
def never_expected(context, times):
    assert max(context.expected) <= times, context.expected


@when("61 s pass in which the others do work")
def minute_passes(context):
    pass_ms(context, 61_000.0)
    for name in context.servers:
        if name != "x":
            work(context, name)


@when("{name} begins {number:d} spells within 6 s")
def many_spells(context, name, number):
    record_lines(context)
    for _ in range(number):
        pass_ms(context, 6_000.0 / number)
        reports(context, name, 1, 2.5)


@then("{number:d} spells were counted and at most {lines:d} logged")
def spells_counted(context, number, lines):
    assert context.speeds.metrics.counts["spells"] == number
    logged = [one for one in context.lines if one["message_type"] == "server-spell"]
    assert 0 < len(logged) <= lines, logged


@when("x is no longer listed")
def unlisted(context):
    context.speeds.drop_unlisted(frozenset(context.servers) - {"x"})


@then("nothing is known of x")
def nothing_known(context):
    assert "x" not in context.speeds.paces[SERVICE]
    assert pace(context, "x").factor == 1.0
    assert "x" not in [one.server for one in context.speeds.speeds(SERVICE)]


@then(
    "a server with factor {factor:g} gets {pieces:d} of {waiting:d} waiting pieces"
    " if the others can take {others:d}"
)
def pieces_in_call(context, factor, pieces, waiting, others):
    found = call_pieces(40, factor, waiting, others)
    assert found == pieces, found


@given("stage servers of which fast takes 0.6 times, usual 1.0 times and slow 1.7 times as long")
def stage_servers(context):
    know(context, slow=1.7, usual=1.0, fast=0.6)
    listed = [context.servers[name] for name in ("slow", "usual", "fast")]
    nothing_limited = SimpleNamespace(
        limited=lambda servers: frozenset(),
        wait_ms=lambda server, service: 0.0,
        has_token=lambda server, service: True,
        per_s=lambda server, service: math.inf,
        rooms=NoRooms(),
    )
    context.stage_servers = StageServers(
        SERVICE,
        SimpleNamespace(servers=lambda service: listed),
        context.router,
        SimpleNamespace(cold=lambda servers: frozenset()),
        nothing_limited,
    )
    context.now = context.clock.now()


@then("free servers are used in the order fast, usual, slow")
def free_order(context):
    free = context.stage_servers.free(BATCH, context.now)
    assert [one.server.name for one in free] == ["fast", "usual", "slow"]


@then("the throughput of slow is expected to be 1.7 times lower than that of usual")
def throughput(context):
    slow, usual = (
        context.stage_servers.pieces_per_ms(context.router.states[name], BATCH, context.now)
        for name in ("slow", "usual")
    )
    assert abs(usual / slow - 1.7) < 0.1, usual / slow


@then("a call to slow is expected to take 1.7 times as long, and counts as on time at that speed")
def call_expected(context):
    state = context.router.states["slow"]
    batcher = SimpleNamespace(
        result_memory=SimpleNamespace(used_bytes=lambda name, now: 0.0),
        servers=context.stage_servers,
    )
    run = BatchRun(batcher, state, [], BATCH, context.now)
    usual_ms = BATCH.expected_ms(0)
    assert abs(run.call.expected_ms / usual_ms - 1.7) < 0.1, run.call.expected_ms
    run.learn_time(1.7, context.now)
    assert state.slowness_at(context.now) < 1.05, state.slowness


@then("a call to slow has fewer pieces while few wait, and one to usual has not")
def fewer_pieces(context):
    states = [context.router.states[name] for name in ("slow", "usual", "fast")]
    found = [
        context.stage_servers.slow_pieces(one, states, BATCH.pieces, BATCH, context.now)
        for one in states
    ]
    assert found == [4, 8, 8], found


@when("slow is in a spell and the others are about to end their calls")
def slow_in_spell(context):
    context.speeds.record(context.servers["slow"], WorkType.CALL, 1.7 * 2.5)
    for name in ("usual", "fast"):
        call = StageCallState(context.now, 20.0, 1)
        context.stage_servers.calls[name] = [call]


@then("it is better to wait than to send pieces to slow")
def better_to_wait(context):
    states = [context.router.states[name] for name in ("slow", "usual", "fast")]
    is_better = context.stage_servers.is_better_to_wait(states[0], states, 4, BATCH, context.now)
    assert is_better
    for one in states[1:]:
        assert not context.stage_servers.is_better_to_wait(one, states, 4, BATCH, context.now)


def make_coordinator(context):
    """Make a placement coordinator of all servers."""
    listed = tuple(context.servers.values())
    context.coordinator = PlacementCoordinator(
        SimpleNamespace(available=lambda service: listed),
        context.router,
        context.clock,
        SimpleNamespace(service=lambda name: None),
        SimpleNamespace(
            cold=lambda servers: frozenset(),
            exhausted=lambda servers, cold, topic: frozenset(),
            record_sent=lambda server: None,
        ),
        NoLimits(),
    )


def place(context, number, prompt=PROMPT, only=()):
    excluded = tuple(name for name in context.servers if only and name not in only)
    order = PlacementOrder(number, SERVICE, prompt, excluded, "", 0.0, 0)
    return context.coordinator.place(order, 0).server


@given("model servers of which fast takes 0.6 times and slow 1.7 times as long")
def model_servers(context):
    know(context, slow=1.7, fast=0.6)
    make_coordinator(context)


@then("a prompt is placed on {name}")
def placed_on(context, name):
    found = place(context, 1, Prompt(4_000, 30, ()), ("fast", "slow"))
    assert found == name, found


@when("fast is in a spell of 4 times")
def fast_in_spell(context):
    context.speeds.record_report(context.servers["fast"], 0.6 * 4.0)


@given("model servers of equal speed so far, as their placement coordinator knows")
def equal_model_servers(context):
    make_servers(context, {f"server-{number}": 1.0 for number in range(5)} | {"slow": 1.0})
    make_coordinator(context)


@when("12 prompts on each are reported with {measured}, on slow 1.7 times as long")
def prompts_reported(context, measured):
    number = 0
    for _ in range(12):
        for name in context.servers:
            pass_ms(context, 300.0)
            number += 1
            times = 1.7 if name == "slow" else 1.0
            assert place(context, number, Prompt(4_000, 30, ()), (name,)) == name
            if measured == "the pause of events":
                note = PlacementNote(number, 0.0, True, False, 20.0 * times)
            else:
                note = PlacementNote(number, 110.0 * times, True)
            context.coordinator.apply_note(note, 0)


@then("the coordinator knows that slow takes about 1.7 times as long")
def coordinator_knows(context):
    found = pace(context, "slow").factor
    assert 1.6 < found < 1.8, found


@then("the usual reading speed is that of the usual servers")
def usual_reading_speed(context):
    found = context.coordinator.placement.speed.tokens_per_ms
    assert found == 40.0 or abs(found / (4_000 / 110.0) - 1.0) < 0.05, found


@when("{number:d} prompts are placed on slow and take 1.7 times as long as usual")
def prompts_on_slow(context, number):
    for order in range(number):
        pass_ms(context, 300.0)
        place(context, order, Prompt(4_000, 30, ()), ("slow",))
        context.coordinator.apply_note(PlacementNote(order, 110.0 * 1.7, True), 0)


@then("slow is as fast as its lasting speed predicts")
def no_slowness(context):
    slowness = context.router.states["slow"].slowness_at(context.clock.now())
    assert slowness < 1.05, slowness


@given("servers of plain calls of which fast takes 0.6 times and slow 1.7 times as long")
def plain_servers(context):
    usual = {f"server-{number}": 1.0 for number in range(3)}
    make_servers(context, usual | {"slow": 1.7, "fast": 0.6})


@when("{number:d} plain calls are sent, one at a time")
def plain_calls(context, number):
    for sent in range(number):
        name = list(context.servers)[sent % len(context.servers)]
        pass_ms(context, 300.0)
        choice = context.router.pick([context.servers[name]], CALL, 100, 1e9)
        elapsed_ms = 60.0 * context.factors[name]
        context.router.record_success(choice, CALL, 100, elapsed_ms, None, is_plain=True)


def expected_ms(context, name):
    state = context.router.states[name]
    return context.router.candidate(state, CALL, 100, None, context.clock.now()).expected_ms


@then("the router expects 4 times as long of fast as before")
def router_expects_spell(context):
    ratio = expected_ms(context, "fast") / context.expected_ms
    assert 3.5 < ratio < 4.5, ratio


@then("the router expects about 0.6 times of fast and 1.7 times of slow")
def router_expects(context):
    expected = {name: expected_ms(context, name) for name in context.servers}
    context.expected_ms = expected["fast"]
    assert abs(expected["fast"] / expected["server-1"] - 0.6) < 0.1, expected
    assert abs(expected["slow"] / expected["server-1"] - 1.7) < 0.2, expected
    assert abs(expected["server-1"] / 60.0 - 1.0) < 0.05, expected


@when(
    "a stream delivers {events:d} more events 25 ms apart, its caller taking {held:g} ms for each"
)
def stream_delivers(context, events, held):
    context.pace, now = EventPace(0.0, 1), 0.0
    for number in range(events):
        now += 25.0
        context.pace.arrived(now, number + 2)
        context.pace.passed_on(now + held)


@then("its mean pause is {ms:g} ms")
def mean_pause(context, ms):
    assert context.pace.mean_ms() == ms, context.pace.mean_ms()


@then('its reports of its current speed are "{factors}"')
def current_speeds(context, factors):
    reported = [
        notice.factor
        for notices in context.reported
        for notice in notices
        if isinstance(notice, CurrentSpeed)
    ]
    assert reported == [float(one) for one in factors.split()], context.reported


@then('its reports of its current speed are ""')
def no_current_speed(context):
    current_speeds(context, "")
