# admissionpipeline_steps.py -- Steps about the backlog of model servers and its use at admission
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about the backlog of model servers and its use at admission."""

import math
import random
from dataclasses import replace
from types import SimpleNamespace

import gevent
from behave import given, then, when
from forwardbasics import (
    PATHS,
    NoColdServers,
    NoLimits,
    find_coordinator,
    placement_coordinator,
    request,
    route,
    serve,
)
from large_steps import check_admission, deck_request
from logrecorder import record_lines

from mountladder.admission.modelbacklogs import ModelBacklogs
from mountladder.admission.modelwait import ModelWait
from mountladder.admission.patience import patience_ms
from mountladder.admission.pipelineadmission import PipelineAdmission
from mountladder.admission.promptbacklog import PromptBacklog
from mountladder.admission.serverload import ServerLoad
from mountladder.clocks.virtualclock import VirtualClock
from mountladder.forwarding.backlog import FIRST_CLASS_GIVING_WAY, PRIORITY_CLASSES, Backlog
from mountladder.forwarding.placementcoordinator import PlacementCoordinator
from mountladder.forwarding.placementnote import PlacementNote
from mountladder.forwarding.placementorder import PlacementOrder
from mountladder.forwarding.prompt import Prompt
from mountladder.forwarding.promptpart import PromptPart
from mountladder.forwarding.ranking import prompts_topic
from mountladder.forwarding.routekind import RouteKind
from mountladder.forwarding.serverrecord import listed_server
from mountladder.forwarding.service import Service
from mountladder.metrics.memorymetrics import MemoryMetrics
from mountladder.routing.costmodel import CostModel
from mountladder.routing.expectedcompletion import ExpectedCompletion
from mountladder.routing.router import Router

TOPIC = prompts_topic("llm")
# A line about a backlog is written when it is computed, at most once a second.
LINE_MS = 1_000.0
KV_TOKENS = 10_000


@given(
    "model servers with {slots:d} slots and {kv_tokens:d} tokens of memory that read"
    " {speed:g} tokens a ms"
)
def model_servers(context, slots, kv_tokens, speed):
    context.slots = slots
    context.backlog = PromptBacklog(speed, 0.0, kv_tokens)


@given("prompts run for {ms:g} ms")
def prompts_run(context, ms):
    context.backlog = replace(context.backlog, run_ms=ms)


@when("the servers have {loads}")
def servers_have(context, loads):
    context.waits = context.backlog.waits_ms(
        [] if loads == "nothing at all" else [load(context, one) for one in loads.split(", ")]
    )


def load(context, text):
    pending, running, urgent, other, factor = map(float, text.split("/"))
    return ServerLoad(int(pending), int(running), context.slots, {0: urgent, 2: other}, factor)


@then("a prompt of rank 0 is expected to wait {urgent:d} ms and one of rank 2 {other:d} ms")
def expected_waits(context, urgent, other):
    assert (round(context.waits[0]), round(context.waits[2])) == (urgent, other), context.waits


@then("prompts that give way are expected to wait as long as others of their rank")
def giving_way(context):
    first = FIRST_CLASS_GIVING_WAY
    assert len(context.waits) == len(PRIORITY_CLASSES)
    assert context.waits[first : first + 3] == context.waits[:3], context.waits
    assert context.waits[0] != context.waits[2]


def make_coordinator(context, number):
    context.clock = VirtualClock()
    context.servers = [
        listed_server(f"llm-{n}", "llm", f"llm-{n}", "a", 8, False, 0) for n in range(number)
    ]
    context.metrics = MemoryMetrics()
    costs = CostModel(), ExpectedCompletion()
    router = Router(context.clock, random.Random(1), *costs, context.metrics, "a", 3.0)
    services = {"llm": Service("llm", 100, 8, KV_TOKENS)}
    context.coordinator = PlacementCoordinator(
        SimpleNamespace(available=lambda service: context.servers),
        router,
        context.clock,
        SimpleNamespace(service=services.get),
        NoColdServers(),
        NoLimits(),
    )


def place(context, number, prompt, urgency=0, excluded=()):
    order = PlacementOrder(number, "llm", prompt, excluded, "", urgency=urgency)
    context.coordinator.place(order, "me")


@given("a placement coordinator of one model server")
def one_server(context):
    make_coordinator(context, 1)


@when(
    "prompts of ranks 0 and 2 with {tokens:d} tokens and {output:d} to generate are placed",
)
def two_ranks(context, tokens, output):
    for rank in (0, 2):
        prompt = Prompt(tokens, output, (PromptPart(f"own {rank}", tokens),))
        place(context, rank, prompt, rank)


@when(
    "two prompts that share all but {own:d} of their {tokens:d} tokens are placed,"
    " with {output:d} to generate"
)
def sharing_prompts(context, own, tokens, output):
    for number in range(2):
        parts = (PromptPart("shared", tokens - own), PromptPart(f"own {number}", own))
        place(context, number, Prompt(tokens, output, parts))


@when("2 requests without a prompt are placed, and both end")
def without_prompt(context):
    for number in range(2):
        place(context, number, Prompt(0, 0, ()))
    for number in range(2):
        context.coordinator.apply_note(PlacementNote(number, 0.0, True), "me")


@then("the server holds {urgent:d} tokens of rank 0 and {other:d} of rank 2")
def holds(context, urgent, other):
    held = context.coordinator.usage.held_tokens.get("llm-0", {})
    assert (held.get(0, 0), held.get(2, 0)) == (urgent, other), held


def wait_until(context, ms):
    task = gevent.spawn(context.clock.sleep, ms - context.clock.now())
    context.clock.run(task)


@when("the prompt of rank {rank:d} is read after {read:d} ms and ends after {ms:d} ms")
def read_and_ends(context, rank, read, ms):
    wait_until(context, read)
    context.coordinator.apply_note(PlacementNote(rank, float(read), False), "me")
    wait_until(context, ms)
    context.coordinator.apply_note(PlacementNote(rank, 0.0, True), "me")


@when("the prompt of rank {rank:d} ends after {ms:d} ms without having been read")
def ends_unread(context, rank, ms):
    wait_until(context, ms)
    context.coordinator.apply_note(PlacementNote(rank, 0.0, True), "me")


@then("prompts are known to run for {ms:d} ms")
def run_time(context, ms):
    assert round(context.coordinator.usage.run_ms["llm"]) == ms


@given("another instance announced a wait of {ms:d} ms for model servers")
def announced(context, ms):
    make_coordinator(context, 1)
    reported = {TOPIC: (Backlog(TOPIC, (float(ms),) * len(PRIORITY_CLASSES)), 0.0)}
    fleet = SimpleNamespace(coordinator=lambda topic: "a link", backlogs=tuple)
    context.admission = PipelineAdmission(
        fleet,
        context.coordinator,
        SimpleNamespace(reported=reported),
        lambda: True,
        context.metrics,
    )


@when("{ms:d} ms have passed since")
def have_passed(context, ms):
    wait_until(context, ms)


@then("the expected wait for a model server is {ms:d} ms")
def expected_model_wait(context, ms):
    age_ms = context.clock.now() if ms else None
    assert context.admission.wait("llm", 0) == ModelWait(float(ms), age_ms)


@given("model servers read {speed:g} tokens a millisecond")
def reading_speed(context, speed):
    context.fleet.upstream.tokens_per_ms = speed
    record_lines(context)


@given("admit_pipeline is off")
def switched_off(context):
    context.fleet.switches["admit_pipeline"] = False


def send_prompts(context, name, number):
    """Send prompts of 10,000 tokens to an instance, all with parts of their own."""
    for n in range(number):
        parts = (PromptPart(f"shared {name} {n}", 9_000), PromptPart("own", 1_000))
        sent = request(f"{name}/{n}", PATHS["stream"], context.clock.now(), allowed_ms=2_900.0)
        gevent.spawn(serve, context, name, replace(sent, prompt=Prompt(10_000, 30, parts)))


@when("every instance is sent {number:d} prompts, and {ms:d} ms pass")
def sent_prompts(context, number, ms):
    def send_all():
        for name in context.fleet.instances:
            send_prompts(context, name, number)
        context.clock.sleep(float(ms))

    context.run(send_all)


def model_wait(instance):
    return instance.forwarder.context.forecast.pipeline.wait("llm", 1)


@then("every instance expects a prompt of rank 1 to wait at least {ms:d} ms")
def all_expect(context, ms):
    context.waits = [model_wait(one) for one in context.fleet.instances.values()]
    assert min(one.ms for one in context.waits) >= ms, context.waits


@then("their information is at most {ms:d} ms old")
def age_at_most(context, ms):
    ages = [one.age_ms for one in context.waits]
    assert max(ages) <= ms and ages.count(0.0) == 1, ages


@then("the coordinator reports this wait as a metric, and in at most 1 line a second")
def reports(context):
    metrics = find_coordinator(context, TOPIC).metrics
    assert metrics.gauges["model_wait_ms"] >= min(one.ms for one in context.waits)
    lines = [one for one in context.lines if one.get("message_type") == "model-backlog"]
    assert len(lines) == 1, lines
    assert lines[0]["service"] == "llm" and lines[0]["servers"] == 2, lines
    assert lines[0]["pending_tokens"] > 0 and max(lines[0]["waits_ms"]) > 0, lines


def announcing(context):
    return [
        name
        for name, one in context.fleet.instances.items()
        if any(backlog.service == TOPIC for backlog in one.fleet.backlogs())
    ]


@then("no beacon announces model servers")
def none_announces(context):
    assert not announcing(context), announcing(context)


@then("only the beacons of the prompts' coordinator announce model servers")
def one_announces(context):
    assert announcing(context) == [find_coordinator(context, TOPIC).settings.name]


@then("no instance expects a wait for model servers or knows the patience of callers")
def nothing_expected(context):
    for one in context.fleet.instances.values():
        assert model_wait(one) == ModelWait()
        forecast = one.forwarder.context.forecast
        assert math.isinf(forecast.patience_ms(one.follower.catalogue.match("desk.x", "/staged/")))


@when("the other instances are cut off from the prompts' coordinator, which is sent 6 prompts")
def coordinator_cut_off(context):
    context.coordinator = find_coordinator(context, TOPIC)
    name = context.coordinator.settings.name
    context.others = [one for one in context.fleet.instances if one != name]
    for other in context.fleet.instances:
        for third in context.fleet.instances:
            if other != third:
                context.fleet.network.cut_instances.add(frozenset({other, third}))

    def send_all():
        context.clock.sleep(1_500.0)
        send_prompts(context, name, 6)
        context.clock.sleep(300.0)

    context.run(send_all)
    assert model_wait(context.coordinator).ms > 0


@then("the others expect no wait of it")
def no_wait_of_it(context):
    waits = [model_wait(context.fleet.instances[name]).ms for name in context.others]
    assert waits == [0.0, 0.0], waits


@when("one that is cut off is sent 6 prompts, and 200 ms pass")
def one_cut_off(context):
    def send_some():
        send_prompts(context, context.others[0], 6)
        context.clock.sleep(200.0)

    context.run(send_some)


@then("it expects a prompt of rank 1 to wait at least {ms:d} ms by what it placed itself")
def it_expects(context, ms):
    found = model_wait(context.fleet.instances[context.others[0]])
    assert found.ms >= ms and found.age_ms == 0.0, found
    assert placement_coordinator(context.fleet.instances[context.others[0]]).placed


@given(
    "two model servers of which the first has {first:d} and the second {second:d} tokens to read"
)
def two_servers(context, first, second):
    make_coordinator(context, 2)
    for number, tokens in enumerate((first, second)):
        prompt = Prompt(tokens, 0, (PromptPart(f"own {number}", tokens),))
        place(context, number, prompt, excluded=(f"llm-{1 - number}",))
    assert dict(context.coordinator.placement.pending_tokens) == {"llm-0": first, "llm-1": second}


@when("the first of them {state}")
def first_is(context, state):
    coordinator, first = context.coordinator, context.servers[0]
    if state == "is not listed any more":
        context.servers = context.servers[1:]
    elif state == "has tripped its circuit breaker":
        coordinator.router.state(first).breaker.trip(context.clock.now())
    elif state == "is cold and was sent enough":
        coordinator.cold.exhausted = lambda servers, cold, topic: frozenset({first.name})
    elif state == "takes its next request in 500 ms":
        coordinator.limits.waits_ms = lambda servers, topic: {first.name: 500.0}
    else:
        assert state == "is available", state


@then("a prompt is expected to wait {ms:d} ms")
def prompt_waits(context, ms):
    fleet = SimpleNamespace(coordinator=lambda topic: None)
    backlogs = ModelBacklogs(
        fleet, context.coordinator, lambda: True, context.clock, context.metrics
    )
    (found,) = backlogs.local_backlogs()
    assert {round(one) for one in found.waits_ms} == {ms}, found


@then("their backlog is announced only while no other instance is the coordinator")
def only_as_coordinator(context):
    links = [None]
    fleet = SimpleNamespace(coordinator=lambda topic: links[0])
    backlogs = ModelBacklogs(
        fleet, context.coordinator, lambda: True, context.clock, context.metrics
    )
    assert [one.service for one in backlogs.local_backlogs()] == [TOPIC]
    links[0] = "a link"
    assert backlogs.local_backlogs() == ()


class FixedPipeline:
    """Waits for model servers and patience of callers that a scenario sets."""

    def __init__(self, wait_ms=0.0, counts=True):
        self.wait_ms = wait_ms
        self.counts = counts
        self.metrics = MemoryMetrics()

    def wait(self, service, urgency, gives_way=False):
        assert service == "llm", service
        return ModelWait(self.wait_ms, 40.0)

    def patience_ms(self, one):
        return patience_ms(one) if self.counts else math.inf


@given("its model servers are expected to keep prompts waiting for {ms:d} ms")
def fixed_wait(context, ms):
    context.forecast.pipeline = FixedPipeline(float(ms))


@given("the patience of callers counts")
def patience_counts(context):
    context.forecast.pipeline = FixedPipeline()


@given("the patience of callers does not count")
def patience_ignored(context):
    context.forecast.pipeline = FixedPipeline(counts=False)


@when("a request of {tokens:d} tokens with {left:d} ms left arrives as a retry")
def retry_arrives(context, tokens, left):
    sent = deck_request(context, "r", tokens, 0.0, float(left))
    age_ms = context.deadline_ms - left
    context.expectation = context.forecast.predict(sent, context.route, 0, age_ms)
    check_admission(context, sent)


@given("model servers are expected to keep prompts waiting for {ms:d} ms")
def fleet_waits(context, ms):
    reading_speed(context, None)
    for one in context.fleet.instances.values():
        one.forwarder.context.forecast.pipeline = FixedPipeline(float(ms))


@then("request r is refused at once without having run")
def refused_at_once(context):
    _, _, code, how, error = context.ends["r"]
    assert (code, how) == (2001, "not_run"), context.ends
    assert error.retry_after_ms > 0
    assert context.ended_at["r"] == context.arrived["r"]
    assert not context.fleet.upstream.piece_calls and not context.fleet.upstream.runs


@then('line request-refused names a wait of {ms:d} ms for model servers and the reason "{reason}"')
def line_names(context, ms, reason):
    (line,) = [one for one in context.lines if one.get("message_type") == "request-refused"]
    found = {name: line[name] for name in ("request", "reason", "model_wait_ms", "model_age_ms")}
    expected = {"request": "r", "reason": reason, "model_wait_ms": ms, "model_age_ms": 40}
    assert found == expected, line
    assert line["patience_ms"] == 2_400, line


@then("{models:d} requests count as refused_by_model_wait and {patience:d} as refused_by_patience")
def counted(context, models, patience):
    counts = context.fleet.instances["a-1"].forwarder.context.forecast.pipeline.metrics.counts
    found = counts["refused_by_model_wait"], counts["refused_by_patience"]
    assert found == (models, patience), counts


@then(
    "callers of a {kind} route with a target of {target:d} ms, pauses of {gap:d} ms and a timeout"
    " of {timeout:d} ms wait {ms:d} ms"
)
def callers_wait(context, kind, target, gap, timeout, ms):
    one = route("r", "/r/", RouteKind[kind.upper()], "llm")
    one = replace(one, target_ms=float(target), gap_ms=float(gap), timeout_ms=float(timeout))
    assert patience_ms(one) == ms, patience_ms(one)
