# large_steps.py -- Steps about large requests in an overload of their route
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about large requests in an overload of their route."""

import math
import random
from dataclasses import replace
from types import SimpleNamespace

import gevent
from behave import given, then, when
from forwardbasics import NullDispatch, request, route, serve

from mountladder.admission.attemptkind import AttemptKind
from mountladder.clocks.virtualclock import VirtualClock
from mountladder.errors import RefusalError
from mountladder.forwarding.backlog import FIRST_CLASS_GIVING_WAY
from mountladder.forwarding.batchlimits import BatchLimits
from mountladder.forwarding.callerteam import CallerTeam
from mountladder.forwarding.catalogue import Catalogue
from mountladder.forwarding.jobprogress import JobProgress
from mountladder.forwarding.piecequeue import PieceQueue
from mountladder.forwarding.prompt import Prompt
from mountladder.forwarding.promptpart import PromptPart
from mountladder.forwarding.routekind import RouteKind
from mountladder.forwarding.routestage import RouteStage
from mountladder.forwarding.service import Service
from mountladder.forwarding.stagedemand import StageDemand
from mountladder.forwarding.stageforecast import StageForecast
from mountladder.forwarding.stagejob import StageJob
from mountladder.forwarding.stagenotice import StageNotice
from mountladder.forwarding.streamrun import StreamRun

BATCH = BatchLimits(1, 2, 8, 150.0, 10.0, 100.0, 4_000.0)
# Three stages in sequence that take 600 ms without waiting.
STAGES = tuple(RouteStage("enc", (n - 1,) if n else (), 8_000.0) for n in range(3))
PIECES = (1, 6, 8)
PATH = "/deck/1"
# Sigma of the log-normal prompt sizes; the 90th percentile is nearly twice the mean.
SPREAD = 0.6
TOKENS_PER_MS = 61.2
SETTLE_MS = 700.0
OK_STATUS = 200


@given("a route with a latency target of {target:d} ms and a deadline of {deadline:d} ms")
def route_with_target(context, target, deadline):
    base_route = route("deck", "/deck/", RouteKind.STREAM, "llm", prompts=True, stages=STAGES)
    context.route = replace(base_route, target_ms=float(target), timeout_ms=float(deadline))
    context.deadline_ms = float(deadline)
    services = {"llm": Service("llm", 100, 64, 10_000_000), "enc": Service("enc", 100, batch=BATCH)}
    routes = {context.route.host: (context.route,)}
    context.catalogue = Catalogue(1, routes, services, {"k": CallerTeam("desk")}, True)


@given("prompts of {mean:d} tokens on average, the largest tenth of them over {large:d}")
def prompts(context, mean, large):
    rng = random.Random(0)
    sizes = sorted(draw_tokens(rng, mean) for _ in range(10_000))
    assert sizes[9_000] > large, sizes[9_000]
    context.mean = mean


def draw_tokens(rng, mean):
    return int(rng.lognormvariate(math.log(mean) - SPREAD**2 / 2, SPREAD))


def deck_request(context, id_, tokens, arrived, allowed_ms):
    prompt = Prompt(tokens, 120, (PromptPart(f"own {id_}", tokens),))
    sent = request(id_, PATH, arrived, allowed_ms=allowed_ms)
    return replace(sent, prompt=prompt, pieces=PIECES)


def check_admission(context, sent):
    """Record whether a request with the context's expectation is refused."""
    context.refusal = None
    try:
        context.forecast.check(context.expectation, sent, context.route)
    except RefusalError as error:
        context.refusal = error


@given("{number:d} stage servers that complete {rate:d} of its requests a second")
def stage_servers(context, number, rate):
    full_s = BATCH.expected_ms(BATCH.pieces) / 1_000.0
    assert rate == round(number * BATCH.pieces / full_s / sum(PIECES))
    context.fleet.catalogues[1] = context.catalogue
    context.fleet.configure(context.catalogue)
    context.fleet.upstream.tokens_per_ms = TOKENS_PER_MS
    for name in ("a-1", "b-1", "c-1"):
        context.fleet.start(name)
    for n in range(number):
        context.fleet.add_server(f"enc-{n}", "enc", "ab"[n % 2])
    for n in range(6):
        context.fleet.add_server(f"llm-{n}", "llm", "abc"[n % 3])
    context.run(context.clock.sleep, SETTLE_MS)


@when(
    "{asked:d} requests a second arrive for {seconds:d} seconds, drawn with seed {seed:d}, "
    "and are retried once when refused"
)
def requests_arrive(context, asked, seconds, seed):
    rng = random.Random(seed)
    context.served = []
    context.on_time = 0
    context.stack.callback(setattr, StreamRun, "log", StreamRun.log)
    StreamRun.log = counting_on_time(context, StreamRun.log)

    def call(number, tokens):
        began = context.clock.now()
        for name in (f"r{number}", f"r{number} again"):
            now = context.clock.now()
            left_ms = context.deadline_ms - (now - began)
            instance = rng.choice(("a-1", "b-1", "c-1"))
            serve(context, instance, deck_request(context, name, tokens, now, left_ms))
            status, _, code, _, error = context.ends[name]
            if not isinstance(error, RefusalError) or error.retry_after_ms is None:
                break
            context.clock.sleep(error.retry_after_ms)
        context.served.append((tokens, status == OK_STATUS and code == 0))

    def play():
        callers = []
        for number in range(asked * seconds):
            context.clock.sleep(rng.expovariate(asked / 1_000.0))
            callers.append(gevent.spawn(call, number, draw_tokens(rng, context.mean)))
        gevent.joinall(callers)

    context.run(play)
    context.served.sort(reverse=True)


def counting_on_time(context, original):
    """Return a log method that also counts requests on time, measured from their first attempt."""

    def log(run, event, **fields):
        original(run, event, **fields)
        if event == "first-event":
            context.on_time += run.age_ms + run.elapsed_ms() <= run.route.target_ms

    return log


def served_fraction(served):
    return sum(one for _, one in served) / len(served)


def served_in_range(context, first, last):
    number = len(context.served)
    return served_fraction(context.served[int(first * number) : int(last * number)])


@then("of the largest tenth at least {ratio:g} times as many are served as of all")
def largest(context, ratio):
    found = served_in_range(context, 0.0, 0.1)
    assert found >= ratio * served_fraction(context.served), (
        found,
        served_fraction(context.served),
    )


@then("of the fifth below it at least {ratio:g} times as many are served as of all")
def fifth(context, ratio):
    found = served_in_range(context, 0.1, 0.3)
    assert found >= ratio * served_fraction(context.served), (
        found,
        served_fraction(context.served),
    )


@then("at least {minimum:g} of all are served")
def all_served(context, minimum):
    assert served_fraction(context.served) >= minimum, served_fraction(context.served)


@then("at least {minimum:g} of all are served on time")
def all_on_time(context, minimum):
    found = context.on_time / len(context.served)
    assert found >= minimum, found


def send_one(context, tokens):
    """Send a request to an instance and record the jobs that it submits, with their times."""
    dispatch = context.fleet.instances["a-1"].dispatch
    original = dispatch.submit
    context.jobs = []

    def submit(job, done):
        context.jobs.append((context.clock.now(), job))
        return original(job, done)

    dispatch.submit = submit
    sent = deck_request(context, "one", tokens, context.clock.now(), context.deadline_ms)
    context.run(serve, context, "a-1", sent)
    assert context.ends["one"][0] == OK_STATUS, context.ends


@when("a request of {tokens:d} tokens is sent to an instance")
def one_sent(context, tokens):
    send_one(context, tokens)


@then("its stages are not late when they are submitted")
def not_late(context):
    assert len(context.jobs) == len(STAGES)
    assert not any(job.gives_way(now) for now, job in context.jobs), context.jobs


@when("a request of {tokens:d} tokens that {condition} is sent to an instance")
def condition_sent(context, tokens, condition):
    forecast = context.fleet.instances["a-1"].forwarder.context.forecast
    original = forecast.predict

    def predict(*args):
        return replace(original(*args), gives_way=condition == "gives way")

    forecast.predict = predict
    send_one(context, tokens)
    context.factors = forecast.factors


@then("the factor of its route has changed")
def factor_changed(context):
    assert context.route.name in context.factors


@then("the factor of its route has not changed")
def factor_not_changed(context):
    assert context.route.name not in context.factors


@given("a stage service that completes {rate:g} pieces a millisecond")
def stage_service(context, rate):
    context.clock = VirtualClock()
    context.rate = rate
    context.demand = StageDemand(context.clock)
    context.queue = PieceQueue()


@when("{first:d} pieces of rank 1 wait, and {second:d} pieces of rank 0 that give way wait")
def both_wait(context, first, second):
    for job in (stage(context, 1, first, 900.0), stage(context, 0, second, -1.0)):
        context.queue.add(JobProgress(job, lambda results: None, context.clock.now()))
    context.waits = expected_waits(context)


@when(
    "{first:d} pieces of rank 1 were announced,"
    " and {second:d} pieces of rank 0 that give way were announced"
)
def both_announced(context, first, second):
    context.demand.announce(StageNotice("on time", 1, "enc", first, 1))
    context.demand.announce(StageNotice("late", 1, "enc", second, 0, gives_way=True))
    context.waits = expected_waits(context)


def stage(context, urgency, pieces, due_in_ms):
    due = context.clock.now() + due_in_ms
    return StageJob("r", 0, "enc", pieces, "key", (), 1e9, due, urgency, 8e3, "")


@when("{pieces:d} pieces of rank 0 that give way have arrived within 1500 ms")
def late_arrivals(context, pieces):
    for _ in range(pieces):
        context.demand.record_arrival(stage(context, 0, 1, -1.0))


@when("{pieces:d} pieces of rank 1 wait")
def rank_one_waits(context, pieces):
    job = stage(context, 1, pieces, 900.0)
    context.queue.add(JobProgress(job, lambda results: None, context.clock.now()))
    context.waits = expected_waits(context)


def expected_waits(context):
    waiting = context.queue.count_by_priority(context.clock.now())
    return context.demand.waits_ms(waiting, context.rate, 0.0)


@then("those that give way are expected to wait {ms:d} ms")
def giving_way_waits(context, ms):
    assert round(context.waits[FIRST_CLASS_GIVING_WAY]) == ms, context.waits


class WaitingDispatch(NullDispatch):
    """A stage dispatch that reports a fixed wait."""

    def __init__(self):
        self.ms = 0.0

    def wait_ms(self, service, urgency, gives_way=False, attempt=AttemptKind.FIRST):
        return self.ms


@given("its route has learnt a factor of {factor:g}")
def learnt(context, factor):
    context.dispatch = WaitingDispatch()
    follower = SimpleNamespace(service=context.catalogue.services.get)
    context.forecast = StageForecast(context.dispatch, follower)
    context.forecast.factors[context.route.name] = factor
    rng = random.Random(1)
    for number in range(40):
        sent = deck_request(
            context, f"before {number}", draw_tokens(rng, context.mean), 0.0, 10_000.0
        )
        context.forecast.predict(sent, context.route, 0, 0.0)


@when("a request of {tokens:d} tokens arrives while its stages wait {wait:d} ms")
def request_arrives(context, tokens, wait):
    context.dispatch.ms = float(wait)
    sent = deck_request(context, "r", tokens, 0.0, context.deadline_ms)
    context.expectation = context.forecast.predict(sent, context.route, 0, 0.0)
    check_admission(context, sent)


@then("it is admitted")
def admitted(context):
    assert context.refusal is None, context.refusal.detail
    assert not context.expectation.gives_way


@then("it is admitted behind the others")
def admitted_behind(context):
    assert context.refusal is None, context.refusal.detail
    assert context.expectation.gives_way


@then("it is refused with a time to retry")
def refused(context):
    assert context.refusal is not None
    assert context.refusal.retry_after_ms > 0.0
