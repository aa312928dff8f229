# returnfleet_steps.py -- Steps about the return of refused callers to a fleet of instances
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about the return of refused callers to a fleet of instances."""

from dataclasses import replace

from behave import given, then, when
from forwardbasics import PATHS, catalogue, fleets_with_and_without, request, send_steadily
from retrybasics import ALLOWED_MS, KINDS, job, lines_of, send, start

from mountladder.admission.attemptkind import AttemptKind
from mountladder.code import Code
from mountladder.forwarding.expectation import Expectation
from mountladder.forwarding.jobprogress import JobProgress
from mountladder.metrics.metric import Metric

IN_TIME_PIECES = 16


@when("a request is refused, and retried {sooner:d} ms sooner than it was told")
def refused_and_retried(context, sooner):
    def play():
        after_ms = send(context, context.other, "first")[4].retry_after_ms
        (line,) = lines_of(context, "return-scheduled")
        assert line["in_time"] and 800 < line["retry_after_ms"] == round(after_ms), str(line)
        context.clock.sleep(after_ms - sooner)
        send(context, context.other, "second", ALLOWED_MS - after_ms + sooner)

    context.run(play)


@then("the retry is {outcome}")
def retry_is(context, outcome):
    expected = 200 if outcome == "answered" else 0
    assert context.ends["second"][0] == expected, context.ends
    metric = Metric.RETURNS_ADMITTED if expected else Metric.RETURNS_REFUSED
    assert context.other.metrics.counts[metric.label] == 1, context.other.metrics.counts


@when("an attempt {age:d} ms after the first one of a request is made")
def attempt_made(context, age):
    # Some pieces can be on time, so that a first attempt cannot: it would wait for two calls.
    now, coordinator = context.clock.now(), context.coordinator
    batcher = coordinator.dispatch.batcher("enc")
    for _ in range(IN_TIME_PIECES):
        batcher.queue.add(JobProgress(job(1, 1, now), lambda results: None, now))
    batcher.cached_backlog = None
    coordinator.forwarder.context.forecast.max_allowed_ms["staged"] = ALLOWED_MS
    context.run(send, context, coordinator, "attempt", ALLOWED_MS - age)


@then("the attempt is {outcome}")
def attempt_is(context, outcome):
    end = context.ends["attempt"]
    refused = Code.DEADLINE_UNMEETABLE.number
    assert end[2] == (refused if outcome == "refused" else 0), end
    at_once = context.ended_at["attempt"] == context.arrived["attempt"]
    assert at_once == (outcome == "refused"), context.ended_at


@then("if it is refused, a return would be admitted after {ms:d} ms")
def return_admitted(context, ms):
    scheduled = [one["earliest_ms"] for one in lines_of(context, "return-scheduled")]
    assert scheduled == ([ms] if context.ends["attempt"][4] else []), scheduled


@when(
    "2 requests that take {alone:g} ms alone and wait {wait:g} ms are refused on a route with a"
    " deadline of 2000 ms"
)
def refused_alone(context, alone, wait):
    retries = context.other.forwarder.context.forecast.retries
    route_ = context.other.follower.catalogue.match("desk.x", PATHS["staged"])
    assert route_.timeout_ms == 2_000.0
    sent = request("r", PATHS["staged"], context.clock.now())
    expectation = Expectation(alone, 0.0, wait, 300.0, 1.0)
    context.after_ms = [
        retries.retry_after_ms(sent, route_, 1, expectation, 1e5, ALLOWED_MS, 0.0) for _ in range(2)
    ]


@then("their callers return after {first:g} and {second:g} ms")
def callers_return(context, first, second):
    assert context.after_ms == [first, second], context.after_ms


@when("{number:d} retries and then a first attempt are refused at the same time")
def retries_refused(context, number):
    context.other.forwarder.context.forecast.max_allowed_ms["staged"] = ALLOWED_MS
    for one in range(number):
        context.run(send, context, context.other, f"retry {one}", ALLOWED_MS - 900.0)
    context.run(send, context, context.other, "first")
    context.offered = number + 1


@then("all of them were offered the same turn")
def same_turn(context):
    lines = lines_of(context, "return-scheduled")
    assert len(lines) == context.offered and all(one["in_time"] for one in lines), str(lines)
    assert len({one["turn_ms"] for one in lines}) == 1, str(lines)


@then("no two instances draw the same phase")
def phases_differ(context):
    instances = context.fleet.instances.values()
    phases = [one.forwarder.context.forecast.retries.rng.random() for one in instances]
    assert len(set(phases)) == len(phases) == 3, phases


@when("a first attempt is admitted, and an attempt {age:d} ms after another one")
def attempts_admitted(context, age):
    batcher = context.coordinator.dispatch.batcher("enc")
    context.attempts = {}

    def spy(function):
        def call(one, *args):
            context.attempts.setdefault(one.request, set()).add(one.attempt)
            return function(one, *args)

        return call

    batcher.submit, batcher.demand.announce = spy(batcher.submit), spy(batcher.demand.announce)
    context.run(send, context, context.other, "first")
    context.run(send, context, context.other, "second", ALLOWED_MS - age)


@then("the stages of the second are announced and queued as those of a {kind}")
def queued_as(context, kind):
    assert context.attempts["first"] == {AttemptKind.FIRST}, context.attempts
    assert context.attempts["second"] == {KINDS[kind]}, context.attempts


@when("a request is admitted and no server begins its stages")
def not_begun(context):
    context.coordinator.dispatch.batcher("enc").servers.free = lambda limits, now: []
    context.run(send, context, context.other, "held")


@then("it is refused with the time that the schedule gave")
def scheduled_late(context):
    end = context.ends["held"]
    assert end[2] == Code.DEADLINE_UNMEETABLE.number, end
    (line,) = lines_of(context, "return-scheduled")
    waited_ms = context.ended_at["held"] - context.arrived["held"]
    assert line["request"] == "held" and line["allowed_ms"] == round(ALLOWED_MS - waited_ms), line
    assert round(end[4].retry_after_ms) == line["retry_after_ms"], (end, line)


@then("no return was scheduled")
def none_scheduled(context):
    assert not lines_of(context, "return-scheduled")


@then("its time to retry is {part:g} of the time it has left at most")
def formula(context, part):
    after_ms = context.ends["r0"][4].retry_after_ms
    assert 800.0 <= after_ms <= min(2_600.0, part * ALLOWED_MS), after_ms


@given("2 instances in each of data centres a and b, with {here:d} and {there:d} stage servers")
def two_datacentres(context, here, there):
    servers = {f"enc{n}-a": "enc" for n in range(here)}
    servers |= {f"enc{n}-b": "enc" for n in range(there)}
    start(context, ("a-1", "a-2", "b-1", "b-2"), servers | {"llm-a1": "llm"})


@when("nothing happens")
def nothing(context):
    pass


@when("another instance joins")
def joins(context):
    context.fleet.start("a-3")
    context.run(context.clock.sleep, 2_500.0)


@when("data centre b is cut off")
def cut_off(context):
    context.fleet.instances["a-1"].directory.avoid(frozenset({"b"}))


@when("two servers there end")
def servers_end(context):
    for number in range(2):
        context.fleet.servers.put(f"enc{number}-a", None)
    context.run(context.clock.sleep, 4_500.0)


@when("{number:d} pieces a second arrive")
def pieces_arrive(context, number):
    # The sum of what was asked decays within 2 s.
    instance = context.fleet.instances["a-1"]
    retries = instance.forwarder.context.forecast.retries
    staged = next(one for one in catalogue(1).routes["desk.x"] if one.name == "staged")
    sent = replace(request("r", PATHS["staged"], 0.0), pieces=(number, number))
    retries.record_admitted(sent, staged, 0.0)
    retries.record_admitted(sent, staged, 900.0)


@then("an instance of data centre a can have {rate:d} pieces of retries a second")
def instance_rate(context, rate):
    retries = context.fleet.instances["a-1"].forwarder.context.forecast.retries
    found = 1_000.0 * retries.rate("enc", context.clock.now())
    assert round(found) == rate, found


@when("the same requests are sent with schedule_retries on and off")
def sent_on_and_off(context):
    context.calls = []
    for fleet in fleets_with_and_without(context, "schedule_retries"):
        servers = {f"enc{n}-{dc}": "enc" for n in range(3) for dc in "ab"} | {"llm-a1": "llm"}
        start(context, ("a-1", "a-2", "b-1"), servers)
        send_steadily(context, 30, "staged", 4_000.0)
        assert {end[0] for end in context.ends.values()} == {200}, context.ends
        context.calls.append(
            [(one.server, one.at, one.pieces) for one in fleet.upstream.piece_calls]
        )


@then("every call holds the same pieces at the same time")
def same_calls(context):
    on, off = context.calls
    assert on == off
    assert len(on) > 50, len(on)
