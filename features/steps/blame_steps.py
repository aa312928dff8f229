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

MARK = "ab" * 16
# Leaves room for events before the first crash.
BEGIN_MS = 100_000.0
END = re.compile(r"(\d+)( shared)? at (\d+)")


@given("a quarantine registry")
def a_book(context):
    context.clock = VirtualClock()
    context.clock.time = BEGIN_MS
    context.book = Quarantine(context.clock, MemoryMetrics())
    context.starts = 0


def end_under(context, book, ran_ms=60.0, shared=False):
    """Crash a further server while it runs the request, now."""
    context.starts += 1
    lost = Interruption(MARK, "r", ran_ms, context.clock.now(), alone=not shared)
    book.handle_crash(f"s{context.starts}", "llm", [lost])


@given("a request that was answered completely {ms:d} ms before")
def answered_before(context, ms):
    context.clock.time = BEGIN_MS - ms
    context.book.record_answer(MARK)
    context.clock.time = BEGIN_MS


@when("servers crash while they run a request: {ends}")
def end_all(context, ends):
    context.ends = [(float(a), bool(b), BEGIN_MS + float(c)) for a, b, c in END.findall(ends)]
    if not any("without it" in step.name for step in context.scenario.steps):
        play(context, [])


@when("servers crash without it: {others}")
def others_end(context, others):
    play(context, [] if others == "none" else [BEGIN_MS + float(others)])


def play(context, others):
    """Crash servers with and without the request, in the order of their times."""
    todo = [(at, ran_ms, shared) for ran_ms, shared, at in context.ends]
    todo += [(at, None, False) for at in others]
    for at, ran_ms, shared in sorted(todo, key=lambda one: one[0]):
        context.clock.time = at
        if ran_ms is None:
            context.book.handle_crash(f"other {at}", "llm", [])
        else:
            end_under(context, context.book, ran_ms, shared)


@then("the request is {outcome}")
def request_is(context, outcome):
    found = "not suspect"
    if context.book.is_suspect(MARK):
        found = "barred" if context.book.is_barred(MARK) else "suspect"
    assert found == outcome, (found, context.book.suspicions)


@given("quarantine registries of two instances that exchange updates")
def two_books(context):
    a_book(context)
    first, second = context.book, Quarantine(context.clock, MemoryMetrics())
    first.on_update = lambda news, source: source != "b" and second.merge(news, "a")
    second.on_update = lambda news, source: source != "a" and first.merge(news, "b")
    context.books = (first, second)


@given("a request that was answered completely at the first")
def answered_at_first(context):
    context.books[0].record_answer(MARK)


@when("a server crashes while it runs the request at the second")
def ends_at_second(context):
    context.clock.time += 1_000.0
    end_under(context, context.books[1])


@then("neither suspects it")
def neither(context):
    assert not any(book.is_suspect(MARK) for book in context.books)


@when("a copy of it is sent, and another one is due")
def copy_sent(context):
    context.book.admit(MARK, "first", 5_000.0)
    context.since = context.clock.now()
    context.waited = {}

    def wait():
        try:
            context.book.admit(MARK, "second", 5_000.0)
            context.waited["admitted"] = context.clock.now() - context.since
        except RefusalError as error:
            assert error.retry_after_ms > 0
            context.waited["refused"] = context.clock.now() - context.since

    context.task = gevent.spawn(wait)
    gevent.sleep(0)


@when("the copy is answered completely after {ms:d} ms")
def copy_answered(context, ms):
    context.clock.call_later(ms, lambda: context.book.record_answer(MARK))


@when("after {ms:d} ms a server crashes while it runs the copy")
def copy_ends(context, ms):
    context.clock.call_later(ms, lambda: end_under(context, context.book, float(ms)))


@then("the other one waits for {ms:d} ms")
def waits_for(context, ms):
    context.clock.run(context.task)
    assert context.waited == {"admitted": float(ms)}, context.waited


@then("the other one is refused after {ms:d} ms")
def refused_after(context, ms):
    context.clock.run(context.task)
    assert context.waited == {"refused": float(ms)}, context.waited


@given("a crash detector")
def watched(context):
    context.clock = VirtualClock()
    context.asked = []
    context.told = []

    context.refuses = True
    context.lost = []

    def refuses(server):
        context.asked.append(server.name)
        return context.refuses

    def ended(start, service, lost):
        context.told.append(start)
        context.lost += [one.request for one in lost]

    context.watch = CrashDetector(refuses, ConfiguredListing(), context.clock)
    context.watch.on_crashed = ended


@when("two connections to a crashed server break {ms:d} ms apart")
def break_apart(context, ms):
    context.asked.clear()
    context.told.clear()

    def break_both():
        for request in ("r1", "r2"):
            lose(context, request)
            context.clock.sleep(float(ms))

    context.clock.run(gevent.spawn(break_both))


def lose(context, request):
    """Lose the connection of a request to a server, now."""
    server = listed_server("s", "llm", "s", "a", 8, False)
    context.watch.investigate(server, [Interruption(MARK, request, 60.0, context.clock.now())])


@when(
    "a connection to a server breaks while it runs, and {ms:d} ms later another one as it crashes"
)
def break_and_end(context, ms):
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
def in_doubt(context, number):
    (found,) = context.watch.unresolved.values()
    assert len(found[1]) <= number, len(found[1])


@then("it was probed once, and both are reported for the same incarnation")
def asked_once(context):
    assert len(context.asked) == 1 and len(context.told) == 2, (context.asked, context.told)
    assert len(set(context.told)) == 1, context.told


@then("it was probed once more, and each is reported for its own incarnation")
def asked_again(context):
    assert len(context.asked) == 1 and len(set(context.told)) == 2, (context.asked, context.told)


def suspicion(text):
    """Return the suspicion after some events, each with its time in seconds."""
    known = Suspicion(MARK)
    for event in text.split():
        word, _, seconds = event.partition("@")
        at = 1_000.0 * float(seconds)
        if word == "cleared":
            known = known.merged(Suspicion(MARK, cleared_at=at))
        elif word == "barred":
            known = known.merged(Suspicion(MARK, bars=1, barred_at=at))
        else:
            end = ServerCrash(word, 60.0, at)
            known = known.merged(Suspicion(MARK, "llm", (end,)))
    return known


@given('what two instances know of a request: "{first}" and "{second}"')
def two_know(context, first, second):
    context.two = (suspicion(first), suspicion(second))


@then('both merge to "{merged}"')
def merge_to(context, merged):
    first, second = context.two
    for found in (first.merged(second), second.merged(first)):
        words = [one.server for one in found.crashes] + ["barred"] * bool(found.bars)
        assert (" ".join(words) or "nothing") == merged, found


@given("quarantine registries of five instances with link delays of {ms:d} ms")
def slow_links(context, ms):
    clock = context.slow_clock = VirtualClock()
    context.slow_books = [Quarantine(clock, MemoryMetrics()) for _ in range(5)]
    context.messages = []

    def tell(sender, news, source):
        told = [one.shifted(-clock.now()) for one in news]
        for number, book in enumerate(context.slow_books):
            if number != sender and str(number) != source:
                context.messages.append(number)
                clock.call_later(ms, lambda book=book: take(book, told, sender))

    def take(book, told, sender):
        book.merge([one.shifted(clock.now()) for one in told], str(sender))

    for number, book in enumerate(context.slow_books):
        book.on_update = lambda news, source, number=number: tell(number, news, source)


@when("a server crashes while it runs a request at the first, which sends the request again")
def ends_and_sent(context):
    def end():
        context.slow_clock.sleep(1_000.0)
        lost = Interruption("f" * 32, "r", 60.0, context.slow_clock.now(), True)
        context.slow_books[0].handle_crash("llm-1", "llm", [lost])
        context.slow_clock.sleep(100.0)
        context.slow_books[0].record_sent("f" * 32, "r")

    context.slow_clock.run(gevent.spawn(end))


@then("within {ms:d} ms each of the others knows of it, after at most {most:d} messages")
def told_once(context, ms, most):
    context.slow_clock.run(gevent.spawn(context.slow_clock.sleep, float(ms)))
    for book in context.slow_books:
        assert book.suspicions["f" * 32].in_flight_since() > 0.0
    assert len(context.messages) <= most, len(context.messages)


@when(
    "a server crashes while it runs a request at the first, and the request is answered "
    "completely at the {other} {ms:d} ms later"
)
def ends_and_answered(context, other, ms):
    book = context.slow_books[{"first": 0, "second": 1}[other]]

    def end():
        context.slow_clock.sleep(1_000.0)
        lost = Interruption("f" * 32, "r", 60.0, context.slow_clock.now(), True)
        context.slow_books[0].handle_crash("llm-1", "llm", [lost])
        context.slow_clock.sleep(float(ms))
        book.record_answer("f" * 32)

    context.slow_clock.run(gevent.spawn(end))


@then("within {ms:d} ms all have cleared it, after at most {most:d} messages")
def cleared_once(context, ms, most):
    context.slow_clock.run(gevent.spawn(context.slow_clock.sleep, float(ms)))
    assert len(context.messages) <= most, len(context.messages)
    assert not any(book.is_suspect("f" * 32) for book in context.slow_books)
