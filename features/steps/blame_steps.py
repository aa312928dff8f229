# blame_steps.py -- Steps about which requests are barred after server crashes
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about which requests are barred after server crashes."""

import re

import gevent
from behave import given, then, when

from mountladder.clocks.virtualclock import VirtualClock
from mountladder.errors import RefusalError
from mountladder.forwarding.serverrecord import listed_server
from mountladder.metrics.memorymetrics import MemoryMetrics
from mountladder.quarantine.crashdetector import CrashDetector
from mountladder.quarantine.interruption import Interruption
from mountladder.quarantine.quarantine import Quarantine
from mountladder.quarantine.servercrash import ServerCrash
from mountladder.quarantine.suspicion import Suspicion
from mountladder.requests.configuredlisting import ConfiguredListing

FINGERPRINT = "ab" * 16
# Leaves room for events before the first crash.
BEGIN_MS = 100_000.0
CRASH = re.compile(r"(\d+)( shared)? at (\d+)")


@given("a quarantine registry")
def new_registry(context):
    context.clock = VirtualClock()
    context.clock.time = BEGIN_MS
    context.registry = Quarantine(context.clock, MemoryMetrics())
    context.crash_count = 0


def crash_running(context, registry, ran_ms=60.0, shared=False):
    """Crash a further server while it runs the request, now."""
    context.crash_count += 1
    lost = Interruption(FINGERPRINT, "r", ran_ms, context.clock.now(), alone=not shared)
    registry.handle_crash(f"s{context.crash_count}", "llm", [lost])


@given("a request that was answered completely {ms:d} ms before")
def answered_before(context, ms):
    context.clock.time = BEGIN_MS - ms
    context.registry.record_answer(FINGERPRINT)
    context.clock.time = BEGIN_MS


@when("servers crash while they run a request: {crashes}")
def crash_all(context, crashes):
    context.crashes = [
        (float(a), bool(b), BEGIN_MS + float(c)) for a, b, c in CRASH.findall(crashes)
    ]
    if not any("without it" in step.name for step in context.scenario.steps):
        play(context, [])


@when("servers crash without it: {others}")
def crash_others(context, others):
    play(context, [] if others == "none" else [BEGIN_MS + float(others)])


def play(context, others):
    """Crash servers with and without the request, in the order of their times."""
    pending = [(at, ran_ms, shared) for ran_ms, shared, at in context.crashes]
    pending += [(at, None, False) for at in others]
    for at, ran_ms, shared in sorted(pending, key=lambda one: one[0]):
        context.clock.time = at
        if ran_ms is None:
            context.registry.handle_crash(f"other {at}", "llm", [])
        else:
            crash_running(context, context.registry, ran_ms, shared)


@then("the request is {outcome}")
def request_is(context, outcome):
    found = "not suspect"
    if context.registry.is_suspect(FINGERPRINT):
        found = "barred" if context.registry.is_barred(FINGERPRINT) else "suspect"
    assert found == outcome, (found, context.registry.suspicions)


@given("quarantine registries of two instances that exchange updates")
def two_registries(context):
    new_registry(context)
    first, second = context.registry, Quarantine(context.clock, MemoryMetrics())
    first.on_update = lambda updates, source: source != "b" and second.merge(updates, "a")
    second.on_update = lambda updates, source: source != "a" and first.merge(updates, "b")
    context.registries = (first, second)


@given("a request that was answered completely at the first")
def answered_at_first(context):
    context.registries[0].record_answer(FINGERPRINT)


@when("a server crashes while it runs the request at the second")
def crash_at_second(context):
    context.clock.time += 1_000.0
    crash_running(context, context.registries[1])


@then("neither suspects it")
def neither(context):
    assert not any(registry.is_suspect(FINGERPRINT) for registry in context.registries)


@when("a copy of it is sent, and another one is due")
def copy_sent(context):
    context.registry.admit(FINGERPRINT, "first", 5_000.0)
    context.since = context.clock.now()
    context.waited = {}

    def wait():
        try:
            context.registry.admit(FINGERPRINT, "second", 5_000.0)
            context.waited["admitted"] = context.clock.now() - context.since
        except RefusalError as error:
            assert error.retry_after_ms > 0
            context.waited["refused"] = context.clock.now() - context.since

    context.task = gevent.spawn(wait)
    gevent.sleep(0)


@when("the copy is answered completely after {ms:d} ms")
def copy_answered(context, ms):
    context.clock.call_later(ms, lambda: context.registry.record_answer(FINGERPRINT))


@when("after {ms:d} ms a server crashes while it runs the copy")
def copy_crashes(context, ms):
    context.clock.call_later(ms, lambda: crash_running(context, context.registry, float(ms)))


@then("the other one waits for {ms:d} ms")
def waits_for(context, ms):
    context.clock.run(context.task)
    assert context.waited == {"admitted": float(ms)}, context.waited


@then("the other one is refused after {ms:d} ms")
def refused_after(context, ms):
    context.clock.run(context.task)
    assert context.waited == {"refused": float(ms)}, context.waited


@given("a crash detector")
def new_detector(context):
    context.clock = VirtualClock()
    context.probed = []
    context.reported = []

    context.refuses = True
    context.lost = []

    def refuses(server):
        context.probed.append(server.name)
        return context.refuses

    def record_crash(incarnation, service, lost):
        context.reported.append(incarnation)
        context.lost += [one.request for one in lost]

    context.detector = CrashDetector(refuses, ConfiguredListing(), context.clock)
    context.detector.on_crashed = record_crash


@when("two connections to a crashed server break {ms:d} ms apart")
def break_apart(context, ms):
    context.probed.clear()
    context.reported.clear()

    def break_both():
        for request in ("r1", "r2"):
            lose(context, request)
            context.clock.sleep(float(ms))

    context.clock.run(gevent.spawn(break_both))


def lose(context, request):
    """Lose the connection of a request to a server, now."""
    server = listed_server("s", "llm", "s", "a", 8, False)
    context.detector.investigate(
        server, [Interruption(FINGERPRINT, request, 60.0, context.clock.now())]
    )


@when(
    "a connection to a server breaks while it runs, and {ms:d} ms later another one as it crashes"
)
def break_and_crash(context, ms):
    def break_both():
        context.refuses = False
        lose(context, "first")
        context.clock.sleep(float(ms))
        context.refuses = True
        lose(context, "second")

    context.clock.run(gevent.spawn(break_both))


@then("only the request of the second connection is reported as lost in the crash")
def only_second(context):
    assert context.lost == ["second"], context.lost


@when("{number:d} connections to a server break while it runs, one every {ms:d} ms")
def break_many(context, number, ms):
    context.refuses = False

    def break_all():
        for n in range(number):
            lose(context, f"r{n}")
            context.clock.sleep(float(ms))

    context.clock.run(gevent.spawn(break_all))


@then("at most {number:d} of them are unresolved")
def unresolved_at_most(context, number):
    (found,) = context.detector.unresolved.values()
    assert len(found[1]) <= number, len(found[1])


@then("it was probed once, and both are reported for the same incarnation")
def probed_once(context):
    assert len(context.probed) == 1 and len(context.reported) == 2, (
        context.probed,
        context.reported,
    )
    assert len(set(context.reported)) == 1, context.reported


@then("it was probed once more, and each is reported for its own incarnation")
def probed_again(context):
    assert len(context.probed) == 1 and len(set(context.reported)) == 2, (
        context.probed,
        context.reported,
    )


def suspicion(text):
    """Return the suspicion after some events, each with its time in seconds."""
    known = Suspicion(FINGERPRINT)
    for event in text.split():
        kind, _, seconds = event.partition("@")
        at = 1_000.0 * float(seconds)
        if kind == "cleared":
            known = known.merged(Suspicion(FINGERPRINT, cleared_at=at))
        elif kind == "barred":
            known = known.merged(Suspicion(FINGERPRINT, bars=1, barred_at=at))
        else:
            crash = ServerCrash(kind, 60.0, at)
            known = known.merged(Suspicion(FINGERPRINT, "llm", (crash,)))
    return known


@given('what two instances know of a request: "{first}" and "{second}"')
def two_know(context, first, second):
    context.pair = (suspicion(first), suspicion(second))


@then('both merge to "{merged}"')
def merge_to(context, merged):
    first, second = context.pair
    for found in (first.merged(second), second.merged(first)):
        words = [one.server for one in found.crashes] + ["barred"] * bool(found.bars)
        assert (" ".join(words) or "nothing") == merged, found


@given("quarantine registries of five instances with link delays of {ms:d} ms")
def slow_links(context, ms):
    clock = context.slow_clock = VirtualClock()
    context.slow_registries = [Quarantine(clock, MemoryMetrics()) for _ in range(5)]
    context.messages = []

    def announce(sender, updates, source):
        reported = [one.shifted(-clock.now()) for one in updates]
        for number, registry in enumerate(context.slow_registries):
            if number != sender and str(number) != source:
                context.messages.append(number)
                clock.call_later(ms, lambda registry=registry: receive(registry, reported, sender))

    def receive(registry, reported, sender):
        registry.merge([one.shifted(clock.now()) for one in reported], str(sender))

    for number, registry in enumerate(context.slow_registries):
        registry.on_update = lambda updates, source, number=number: announce(
            number, updates, source
        )


@when("a server crashes while it runs a request at the first, which sends the request again")
def crash_and_resend(context):
    def crash():
        context.slow_clock.sleep(1_000.0)
        lost = Interruption("f" * 32, "r", 60.0, context.slow_clock.now(), True)
        context.slow_registries[0].handle_crash("llm-1", "llm", [lost])
        context.slow_clock.sleep(100.0)
        context.slow_registries[0].record_sent("f" * 32, "r")

    context.slow_clock.run(gevent.spawn(crash))


@then("within {ms:d} ms each of the others knows of it, after at most {maximum:d} messages")
def known_by_all(context, ms, maximum):
    context.slow_clock.run(gevent.spawn(context.slow_clock.sleep, float(ms)))
    for registry in context.slow_registries:
        assert registry.suspicions["f" * 32].in_flight_since() > 0.0
    assert len(context.messages) <= maximum, len(context.messages)


@when(
    "a server crashes while it runs a request at the first, and the request is answered "
    "completely at the {other} {ms:d} ms later"
)
def crash_and_answer(context, other, ms):
    registry = context.slow_registries[{"first": 0, "second": 1}[other]]

    def crash():
        context.slow_clock.sleep(1_000.0)
        lost = Interruption("f" * 32, "r", 60.0, context.slow_clock.now(), True)
        context.slow_registries[0].handle_crash("llm-1", "llm", [lost])
        context.slow_clock.sleep(float(ms))
        registry.record_answer("f" * 32)

    context.slow_clock.run(gevent.spawn(crash))


@then("within {ms:d} ms all have cleared it, after at most {maximum:d} messages")
def cleared_once(context, ms, maximum):
    context.slow_clock.run(gevent.spawn(context.slow_clock.sleep, float(ms)))
    assert len(context.messages) <= maximum, len(context.messages)
    assert not any(registry.is_suspect("f" * 32) for registry in context.slow_registries)
