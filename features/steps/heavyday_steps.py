# heavyday_steps.py -- Steps about decisions under heavy load
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about decisions under heavy load."""

import json
import random
from collections import Counter
from dataclasses import replace
from types import SimpleNamespace

import gevent
from behave import given, then, when
from forwardbasics import PATHS, ROUTES, NoColdServers, NoLimits, NullDispatch, request, serve
from mountladder_platform.decoding import decode_catalogue

from mountladder.clocks.virtualclock import VirtualClock
from mountladder.errors import RefusalError
from mountladder.forwarding.batchlimits import BatchLimits
from mountladder.forwarding.batchrun import BatchRun
from mountladder.forwarding.fetchtime import FetchTime
from mountladder.forwarding.jobprogress import JobProgress
from mountladder.forwarding.piecefailure import PieceFailure
from mountladder.forwarding.piecequeue import PieceQueue
from mountladder.forwarding.pieceresult import PieceResult
from mountladder.forwarding.placementcoordinator import PlacementCoordinator
from mountladder.forwarding.placementnote import PlacementNote
from mountladder.forwarding.placementorder import PlacementOrder
from mountladder.forwarding.prompt import Prompt
from mountladder.forwarding.promptpart import PromptPart
from mountladder.forwarding.prompttransfer import PromptTransfer
from mountladder.forwarding.ranking import Ranking
from mountladder.forwarding.routestage import RouteStage
from mountladder.forwarding.serverrecord import listed_server
from mountladder.forwarding.service import Service
from mountladder.forwarding.stagedemand import StageDemand
from mountladder.forwarding.stagedispatch import StageDispatch
from mountladder.forwarding.stageflow import StageFlow
from mountladder.forwarding.stageforecast import StageForecast
from mountladder.forwarding.stagejob import StageJob
from mountladder.membership.instance import Instance
from mountladder.membership.membership import Membership
from mountladder.metrics.memorymetrics import MemoryMetrics
from mountladder.results.resultmemory import ResultMemory
from mountladder.routing.costmodel import CostModel
from mountladder.routing.expectedcompletion import ExpectedCompletion
from mountladder.routing.router import Router
from mountladder_standins.serverfault import ServerFault

RESULT_BYTES = 1_500_000.0
LIMITS = BatchLimits(1, 2, 5, 200.0, 33.6, 11.25, 4_000.0, 10_000.0)
TOPICS = ("prompts", "first stage", "second stage", "third stage")
# Cache size of one token on the scenarios' engines, in bytes.
TOKEN_BYTES = 163_840.0


def job(pieces=1, give_up=float("inf")):
    return StageJob("r", 0, "enc", pieces, "key", (), 1e9, 1e9, 0, RESULT_BYTES, "", give_up)


def server(name, datacentre):
    return listed_server(name, "planner", f"10.0.0.{name[-1]}:80", datacentre, 64, False)


def router(clock):
    return Router(
        clock, random.Random(1), CostModel(), ExpectedCompletion(), MemoryMetrics(), "a", 3.0
    )


@given(
    "a server whose memory for 7 results is to be {use} by a call with {new:d} pieces beside "
    "{old:d} stored results"
)
def server_memory(context, use, new, old):
    context.clock = VirtualClock()
    state = router(context.clock).state(server("enc-1", "a"))
    context.memory = ResultMemory()
    for _ in range(old):
        context.memory.reserve("enc-1", RESULT_BYTES)
    batcher_state = SimpleNamespace(
        result_memory=context.memory, queue=PieceQueue(), clock=context.clock
    )
    batcher_state.hedged = set()
    context.progress = JobProgress(job(new), lambda results: None, 0.0)
    batch = [(context.progress, number) for number in range(new)]
    context.batch = BatchRun(batcher_state, state, batch, LIMITS, 0.0)
    for _ in range(new):
        context.memory.reserve("enc-1", RESULT_BYTES)


@when("it refuses the last piece for lack of memory")
def refuses_last_piece(context):
    context.used_before = context.memory.used_bytes("enc-1", 0.0) - RESULT_BYTES
    result = PieceResult("", PieceFailure.NO_ROOM)
    context.batch.handle_result((context.progress, context.progress.job.pieces - 1), result, 0.0)


@then("its memory is not recorded as full")
def not_recorded_full(context):
    assert context.memory.used_bytes("enc-1", 0.0) == context.used_before


@then("its memory is recorded as full of results of other instances")
def recorded_full(context):
    assert context.memory.used_bytes("enc-1", 0.0) >= LIMITS.result_memory_bytes - RESULT_BYTES


@given("a stage of {pieces:d} pieces, none of them begun, to be given up after {ms:d} ms")
def unbegun_stage(context, pieces, ms):
    context.settled = []
    context.now = 0.0
    context.progress = JobProgress(job(pieces, float(ms)), context.settled.append, 0.0)
    context.queue = PieceQueue()
    context.queue.add(context.progress)


@given("one of its pieces is dispatched")
def piece_dispatched(context):
    context.progress.begun = True
    context.queue.take(context.queue.waiting[:1])


@when("{ms:d} ms pass in the queue")
def pass_in_queue(context, ms):
    context.now += ms
    context.queue.drop_expired(context.now)


@then("the stage still waits")
def waits_on(context):
    assert not context.settled and len(context.queue) > 0


@then("the stage is settled as not begun")
def not_begun(context):
    (results,) = context.settled
    assert [one.failure for one in results] == [PieceFailure.NOT_BEGUN] * 5
    assert len(context.queue) == 0


class GivingUpDispatch(NullDispatch):
    """Settles a stage with a give-up time as not begun; a stage submitted again succeeds."""

    def __init__(self, clock):
        self.clock = clock

    def submit(self, job, done):
        whole = tuple(PieceResult(f"{job.stage}/{n}") for n in range(job.pieces))
        gone = tuple(PieceResult("", PieceFailure.NOT_BEGUN) for _ in range(job.pieces))
        given_up = job.stage == 0 and job.give_up < float("inf")
        wait_ms = 100.0 if job.stage == 0 else 500.0
        self.clock.call_later(wait_ms, lambda: done(gone if given_up else whole))
        return object()


@given("a request with a stage that is given up before any of its pieces began")
def given_up(context):
    context.clock = VirtualClock()
    context.pieces = (1, 0)


@given("no other stage of it has begun")
def no_other_stage(context):
    pass


@given("another of its stages is running")
def another_stage(context):
    context.pieces = (1, 1)


@when("its stages run")
def run_stages(context):
    staged = next(one for one in ROUTES if one.name == "staged")
    route = replace(staged, stages=(RouteStage("x", (), 1.0), RouteStage("y", (), 1.0)))
    sent = request("r", PATHS["staged"], context.clock.now(), pieces=context.pieces)
    dispatch = GivingUpDispatch(context.clock)
    context.flow = StageFlow(sent, route, 10_000.0, 0, dispatch, context.clock)

    def run():
        try:
            context.ended = context.flow.run()
        except RefusalError as error:
            context.ended = error

    context.clock.run(gevent.spawn(run))


@then("it ends as a refusal")
def ends_refused(context):
    assert isinstance(context.ended, RefusalError)
    assert not context.flow.begun


@then("it ends as a complete set of results")
def ends_whole(context):
    assert context.ended == ("0/0", "1/0"), context.ended


@given("a stage that was assigned to one instance and reassigned to a second")
def reassigned(context):
    clock = VirtualClock()
    division = SimpleNamespace(is_divided=lambda service: False)
    membership = SimpleNamespace(me=SimpleNamespace(datacentre="a"))
    fleet = SimpleNamespace(
        coordinator=lambda service: None,
        links={},
        peer_gone=[],
        division=division,
        membership=membership,
        subscribe=lambda kind, take: None,
    )
    batcher = SimpleNamespace(submit=lambda job, done: SimpleNamespace(job=job))
    context.dispatch = StageDispatch(fleet, lambda service: batcher, clock)
    context.settled = []
    submission = context.dispatch.submit(job(), context.settled.append)
    submission.assignee = "10.0.0.1:7000"
    context.number = submission.number
    context.dispatch.reassign_from("10.0.0.1:7000")


@when("the second instance gives it up as not begun")
def second_gives_up(context):
    context.dispatch.settle(context.number, (PieceResult("", PieceFailure.NOT_BEGUN),))


@then("the stage fails as late")
def fails_late(context):
    assert [one.failure for one in context.settled[0]] == [PieceFailure.LATE]


@given("routes with priorities 0, 1 and 2 and teams with priorities {team_priorities}")
def priorities(context, team_priorities):
    document = {
        "version": 1,
        "routes": [
            {"name": f"r{n}", "hostname": "x", "prefix": f"/{n}/", "type": "safe", "service": "s"}
            | {"timeout_ms": 1_000, "priority": n}
            for n in range(3)
        ],
        "services": [{"name": "s"}],
        "tenants": [
            {"name": f"t{n}", "api_keys": [f"k{level}"], "priority": int(level)}
            for n, level in enumerate(team_priorities.split(", "))
        ],
    }
    context.catalogue = decode_catalogue(json.dumps(document).encode())


@when("a request of a team with priority {team} is sent on the route with priority {route:d}")
def request_rank(context, team, route):
    caller = context.catalogue.keys.get(f"k{team}")
    found = context.catalogue.match("x", f"/{route}/1")
    context.rank = context.catalogue.urgency(caller, found)


@then("its rank is {rank:d}")
def has_rank(context, rank):
    assert context.rank == rank, context.rank


@given("pieces of rank 2 due in 200 ms, queued before pieces of rank 0 due in 900 ms")
def ranked_pieces(context):
    context.queue = PieceQueue()
    for urgency, due in ((2, 200.0), (0, 900.0)):
        ranked = replace(job(5), urgency=urgency, due=due)
        context.queue.add(JobProgress(ranked, lambda results: None, 0.0))


@when("the next call is filled")
def fill_call(context):
    state = router(VirtualClock()).state(server("enc-1", "a"))
    context.queue.sort(0.0)
    context.batch = context.queue.choose(state, 0.0, {"a"}, LIMITS, 0.0)


@then("it holds the pieces of rank 0")
def holds_urgent(context):
    assert [progress.job.urgency for progress, _ in context.batch] == [0] * 5


@given(
    "requests with a latency target of {target:d} ms and usually {allowed:d} ms to their deadline"
)
def usual_requests(context, target, allowed):
    context.forecast = StageForecast(None, None)
    context.route = next(one for one in ROUTES if one.name == "staged")
    sent = request("r", PATHS["staged"], 0.0, allowed_ms=float(allowed))
    assert context.forecast.age_ms(sent, context.route) == 0.0


@when("one of them arrives with {left:d} ms remaining")
def arrives_with(context, left):
    sent = request("r", PATHS["staged"], 0.0, allowed_ms=float(left))
    context.age_ms = context.forecast.age_ms(sent, context.route)


@then("its age is estimated as {age:d} ms")
def has_age(context, age):
    assert context.age_ms == age


@then("one that arrives with {left:d} ms remaining counts as a first attempt")
def counts_as_first(context, left):
    arrives_with(context, left)
    assert context.age_ms == 0.0


def member(number, since, cores=1.0):
    return Instance(
        f"edge-{number}",
        f"i{number}-{since}",
        "a",
        "",
        f"10.1.0.{number}:7",
        cores=cores,
        since=since,
    )


def ranking(instances):
    membership = Membership(instances[0], VirtualClock(), 250.0)
    for one in instances[1:]:
        membership.mark_alive(one)
    return Ranking(membership)


@given("{number:d} instances that started at the same time")
def started_together(context, number):
    context.instances = [member(n, 1_000) for n in range(number)]


@when("the coordinator of each topic is killed and restarts")
def coordinator_restarts(context):
    context.before = {topic: ranking(context.instances).ranked(topic)[0] for topic in TOPICS}
    context.after_restart = {}
    for topic, first in context.before.items():
        rest = [one for one in context.instances if one is not first]
        number = int(first.name.partition("-")[2])
        meanwhile = ranking(rest).ranked(topic)[0]
        after = ranking([*rest, member(number, 9_000)]).ranked(topic)[0]
        context.after_restart[topic] = (meanwhile, after)


@then("another instance becomes the coordinator and remains it")
def coordinator_moves_once(context):
    for topic, (meanwhile, after) in context.after_restart.items():
        assert meanwhile.name == after.name != context.before[topic].name, topic


@given("an instance with four times the cores that started last")
def large_instance(context):
    context.instances.append(member(99, 9_000, cores=4.0))


@then("that instance is the coordinator of every topic")
def coordinates_all(context):
    ranked = ranking(context.instances)
    assert {ranked.ranked(topic)[0].name for topic in TOPICS} == {"edge-99"}


def make_coordinator(context, speed, mbps):
    clock = VirtualClock()
    transfer = PromptTransfer(TOKEN_BYTES, mbps) if mbps else None
    catalogue = SimpleNamespace(services={"planner": Service("planner", 100, transfer=transfer)})
    servers = (server("llm-1", "a"), server("llm-2", "b"))
    directory = SimpleNamespace(available=lambda service: servers)
    follower = SimpleNamespace(service=catalogue.services.get)
    context.coordinator = PlacementCoordinator(
        directory, router(clock), clock, follower, NoColdServers(), NoLimits()
    )
    context.coordinator.placement.speed.tokens_per_ms = speed


@given(
    "an engine that prefills {speed:g} tokens a millisecond and transfers cached parts at "
    "{mbps:d} Mbit/s"
)
def engine(context, speed, mbps):
    make_coordinator(context, speed, mbps)


@given("a shared part of {tokens:d} tokens that a server of another data centre has cached")
def cached_elsewhere(context, tokens):
    context.shared = PromptPart("shared", tokens)
    prompt = Prompt(tokens + 10, 10, (context.shared, PromptPart("other", 10)))
    context.coordinator.placement.record_start("llm-2", prompt, 0)
    context.coordinator.placement.record_end("llm-2")


def place_prompt(context, own, input_datacentre):
    prompt = Prompt(context.shared.tokens + own, 30, (context.shared, PromptPart("own", own)))
    order = PlacementOrder(1, "planner", prompt, (), input_datacentre)
    context.reply = context.coordinator.place(order, "me")


@when(
    "a prompt with {own:d} tokens of its own and large results in the first data centre is placed"
)
def placed(context, own):
    context.own = own
    place_prompt(context, own, "a")


@when("a prompt with {own:d} tokens of its own and an unknown part of {tokens:d} is placed")
def placed_unknown(context, own, tokens):
    context.shared = PromptPart("unknown", tokens)
    place_prompt(context, own, "")


@then("it goes to the first data centre and fetches {tokens:d} tokens")
def fetches(context, tokens):
    assert (context.reply.server, context.reply.prefill_tokens) == ("llm-1", context.own)
    assert context.reply.source == "10.0.0.2:80"
    assert tokens == context.shared.tokens


@then("it goes to the first data centre and prefills all of its tokens")
def prefills_all(context):
    whole = context.own + context.shared.tokens
    assert (context.reply.server, context.reply.source) == ("llm-1", ""), context.reply
    assert context.reply.prefill_tokens == whole


@then("it goes to the second data centre and prefills its own tokens")
def prefills_own(context):
    assert (context.reply.server, context.reply.source) == ("llm-2", ""), context.reply
    assert context.reply.prefill_tokens == context.own


@then("it is expected to prefill {tokens:d} tokens")
def expected_to_prefill(context, tokens):
    assert context.reply.prefill_tokens == tokens


@given("engines with a true speed of {speed:g} prefilled tokens a millisecond")
def engines_with_speed(context, speed):
    context.true_speed = speed
    make_coordinator(context, 40.0, 0)


@when("{number:d} prompts were prefilled")
def were_prefilled(context, number):
    for n in range(number):
        parts = (PromptPart(f"part {n}", 2_000), PromptPart(f"own {n}", 1_000))
        order = PlacementOrder(n, "planner", Prompt(3_000, 10, parts), (), "")
        context.coordinator.place(order, "me")
        context.coordinator.apply_note(PlacementNote(n, 3_000 / context.true_speed, True), "me")


@then("the speed is estimated within {percent:d} percent")
def estimated_speed(context, percent):
    estimate = context.coordinator.placement.speed.tokens_per_ms
    assert abs(estimate - context.true_speed) <= context.true_speed * percent / 100, estimate


@given("results of {size:g} MB over links of {mbps:d} Mbit/s")
def results(context, size, mbps):
    context.fetch = FetchTime()
    context.size, context.mbps = size * 1e6, float(mbps)


@then("they are stored for about {ms:d} ms after the request was sent")
def stored_for(context, ms):
    assert abs(context.fetch.wait_ms(context.size, context.mbps) - ms) < 1.0


@when("a server found them already released")
def found_released(context):
    context.fetch.record_early_release()


@when("{number:d} servers fetched them in time")
def fetched_in_time(context, number):
    for _ in range(number):
        context.fetch.record_fetched()


@given('server {name} has fault "unreachable", detected after {ms:d} ms')
def unreachable(context, name, ms):
    upstream = context.fleet.upstream
    upstream.faults[name] = ServerFault.UNREACHABLE
    original = upstream.open

    def open_(server, call, limit_ms):
        if server.name == name:
            context.clock.sleep(float(ms))
        return original(server, call, limit_ms)

    upstream.open = open_


@when("{number:d} lasting requests come one after the other")
def one_by_one(context, number):
    for n in range(number):
        sent = request(f"l{n}", PATHS["lasting"], context.clock.now())
        context.run(serve, context, "a-1", sent)
    assert all(end[0] == 200 for end in context.ends.values()), context.ends
    arrivals = context.fleet.upstream.arrivals.values()
    assert any(len(names) > 1 for names in arrivals), arrivals


@given("the next result of a first stage is lost")
def result_lost(context):
    upstream = context.fleet.upstream
    original = upstream.run_pieces
    lost = []

    def run_pieces(server, pieces, limit_ms, on_notices):
        made = original(server, pieces, limit_ms, on_notices)
        if pieces[0].stage == 1 and not lost:
            lost.append(pieces[0])
            return tuple(PieceResult("", PieceFailure.INPUT_GONE) for _ in pieces)
        return made

    upstream.run_pieces = run_pieces
    context.lost = lost


@then("it is answered completely")
def answered_whole(context):
    assert context.lost
    assert context.ends["r"][0] == 200 and context.ends["r"][2] == 0, context.ends


@given(
    "a stage service that completes {rate:g} pieces a millisecond, all of them demanded by "
    "rank 0"
)
def all_demanded(context, rate):
    clock = VirtualClock()
    context.rate = rate
    context.demand = StageDemand(clock)
    for _ in range(60):
        context.demand.record_arrival(job(1))


@when("{number:d} pieces of rank 2 wait")
def rank_two_waits(context, number):
    context.waits = context.demand.waits_ms(Counter({2: number}), context.rate, 0.0)


@then("those of rank {rank:d} are expected to wait {ms:d} ms")
def expected_wait(context, rank, ms):
    assert round(context.waits[rank]) == ms, context.waits
