# sharing_steps.py -- Steps about the order of pieces at a stage service in an overload
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about the order of pieces at a stage service in an overload."""

from collections import Counter
from dataclasses import replace
from functools import partial

import gevent
from behave import given, then, when
from forwardbasics import BATCH, PATHS, find_coordinator, request, serve
from logrecorder import record_lines

from mountladder.forwarding.batchlimits import BatchLimits
from mountladder.forwarding.jobprogress import JobProgress
from mountladder.forwarding.piecequeue import PieceQueue
from mountladder.forwarding.pieceresult import PieceResult
from mountladder.forwarding.stagejob import StageJob
from mountladder.metrics.memorymetrics import MemoryMetrics
from mountladder.metrics.metric import Metric
from mountladder.sharing.callorder import CallOrder
from mountladder.sharing.decayedsums import DecayedSums
from mountladder.sharing.expectedwaits import ExpectedWaits
from mountladder.sharing.rankfloors import RankFloors
from mountladder.sharing.servicesharing import ServiceSharing
from mountladder.sharing.waitingstage import WaitingStage

LIMITS = BatchLimits(1, 2, 12, 200.0, 14.0, 27.0, 4_000.0)
FULL_MS = LIMITS.expected_ms(LIMITS.pieces)
FAR = 100_000.0


def stage(urgency, due, pieces=1, team="", since=0.0):
    job = StageJob("r", 0, "enc", pieces, "key", (), FAR, due, urgency, 8e3, "", team=team)
    return JobProgress(job, lambda results: None, since)


def prepare(context, congested=True):
    context.congested = congested
    context.metrics = MemoryMetrics()
    context.sharing = ServiceSharing("enc", context.metrics)
    context.queue = PieceQueue()


def arrive(context, urgency, due, pieces, team="", since=0.0):
    """Queue stages of one piece each, as they arrive."""
    for _ in range(pieces):
        one = stage(urgency, due, 1, team, since)
        context.sharing.record_arrival(one.job, since)
        context.queue.add(one)


def queue(context, urgency, due, pieces, team="", since=0.0):
    """Queue stages of one piece each that arrived so long ago that they count no more."""
    for _ in range(pieces):
        context.queue.add(stage(urgency, due, 1, team, since))


def next_call(context, now=0.0):
    """Return the stages of the pieces that the next call holds."""
    arrange = partial(
        context.sharing.arrange, limits=LIMITS, free=1, congested=context.congested, now=now
    )
    context.queue.sort(now, arrange)
    context.call = context.queue.waiting[: LIMITS.pieces]
    return [progress for progress, _ in context.call]


def by_rank(progresses):
    return Counter(one.job.urgency for one in progresses)


@given(
    "{first:d} pieces of rank 0 due in {urgent:d} ms and {second:d} of rank 2 due in {other:d} ms"
)
def two_ranks(context, first, urgent, second, other):
    prepare(context, False)
    arrive(context, 0, float(urgent), first)
    arrive(context, 2, float(other), second)


@when("the next call is filled in their order")
def filled_in_order(context):
    context.ranks = by_rank(next_call(context))


@then("the call is filled from rank {rank:d}")
def holds_rank(context, rank):
    assert context.ranks == {rank: 12}, context.ranks


@then("its first piece is of rank {rank:d}")
def first_of_rank(context, rank):
    assert context.call[0][0].job.urgency == rank


@when(
    "{begun:d} pieces of a begun stage wait that can wait, and {others:d} each of ranks 0 and 2"
    " that cannot"
)
def begun_waits(context, begun, others):
    queue(context, 0, 700.0, others)
    queue(context, 2, 700.0, others)
    context.begun = stage(2, FAR, begun + 1)
    context.begun.settle(begun, PieceResult("handle"))
    context.queue.waiting += [(context.begun, number) for number in range(begun)]


@then("the next call begins with the {pieces:d} pieces of the begun stage")
def begins_with(context, pieces):
    assert next_call(context)[:pieces] == [context.begun] * pieces


@given("{arrived:d} pieces of rank 0 have arrived and {sent:d} were sent")
def arrived_and_sent(context, arrived, sent):
    context.sharing.record_arrival(stage(0, FAR, arrived).job, 0.0)
    for _ in range(sent // LIMITS.pieces):
        context.sharing.record_call([(stage(0, FAR), 0)] * LIMITS.pieces, LIMITS, 0.0)


@given("team {team} had {calls:d} full calls and asks for nothing")
def satisfied_team(context, team, calls):
    for _ in range(calls):
        context.sharing.record_call([(stage(0, FAR, team=team), 0)] * 12, LIMITS, 0.0)


@given("a service that is {load}")
def service(context, load):
    prepare(context, load == "congested")


@given(
    "{first:d} pieces of rank 0 and {second:d} pieces of rank 2 arrive in each of {rounds:d}"
    " rounds, all due in {due:d} ms"
)
def rounds(context, first, second, rounds, due):
    context.rounds = [((0, "", first), (2, "", second))] * rounds
    context.due_in = due


@given(
    "team large sends {large:d} pieces and {teams:d} other teams {other:d} each in each of"
    " {rounds:d} rounds, all due in {due:d} ms"
)
def team_rounds(context, large, teams, other, rounds, due):
    others = tuple((0, f"other {n}", other) for n in range(teams))
    context.rounds = [((0, "large", large), *others)] * rounds
    context.due_in = due


@when("the next call is sent")
def call_sent(context):
    record_lines(context)
    next_call(context)
    context.sharing.record_call(context.call, LIMITS, 0.0)


@then("{pieces:d} pieces are counted and logged as sent in place of those of team {team}")
def team_counted(context, pieces, team):
    (line,) = (one for one in context.lines if one["message_type"] == "order-shared")
    assert (line["team_pieces"], line["excess_teams"]) == (pieces, [team]), line
    assert context.metrics.counts[Metric.TEAM_PIECES.label] == pieces


@when("a call is sent in each round")
def call_each_round(context):
    record_lines(context)
    context.sent = []
    now = 0.0
    for arrivals in context.rounds:
        for urgency, team, pieces in arrivals:
            arrive(context, urgency, now + context.due_in, pieces, team, now)
        context.sent += [(one, now) for one in next_call(context, now)]
        context.queue.take(context.call)
        context.sharing.record_call(context.call, LIMITS, now)
        now += FULL_MS


@then(
    "between {least:d} and {most:d} of the {all_:d} pieces sent are of rank 2, all of them in time"
)
def sent_of_rank(context, least, most, all_):
    of_rank = [(one, at) for one, at in context.sent if one.job.urgency == 2]
    assert len(context.sent) == all_
    assert least <= len(of_rank) <= most, len(of_rank)
    assert all(at + FULL_MS <= one.job.due for one, at in of_rank)


@then(
    "{least:d} or more of the {all_:d} pieces of the other teams are sent in time,"
    " and no call has room left"
)
def others_in_time(context, least, all_):
    assert len(context.sent) == LIMITS.pieces * len(context.rounds)
    others = [(one, at) for one, at in context.sent if one.job.team != "large"]
    in_time = sum(at + FULL_MS <= one.job.due for one, at in others)
    assert least <= in_time <= all_, (in_time, len(others))


@given("{pieces:d} pieces each of rank {first:d} and of rank {second:d} have arrived")
def have_arrived(context, pieces, first, second):
    for urgency in (first, second):
        context.sharing.record_arrival(stage(urgency, FAR, pieces).job, 0.0)


@given("{pieces:d} pieces of rank {rank:d} have arrived that were late already")
def late_arrived(context, pieces, rank):
    context.sharing.record_arrival(stage(rank, -1.0, pieces).job, 0.0)


@when("{pieces:d} pieces of rank {rank:d} wait that are late")
def late_wait_in_queue(context, pieces, rank):
    queue(context, rank, -1.0, pieces)


@then("ranks 0, 1 and 2 are guaranteed {first:g}, {second:g} and {third:g} of the pieces")
def guaranteed(context, first, second, third):
    floors = context.sharing.floors(context.queue.count_by_priority(0.0), 0.0)
    assert [floors.fraction(one) for one in range(3)] == [first, second, third], floors


@when("{last:d} piece of rank 2 and {first:d} of rank 0 wait, all due in {due:d} ms")
def one_waits(context, last, first, due):
    queue(context, 0, float(due), first)
    queue(context, 2, float(due), last)


@when("{first:d} pieces of rank 0 and {last:d} of rank 2 wait, all due in {due:d} ms")
def ranks_wait(context, first, last, due):
    queue(context, 0, float(due), first)
    queue(context, 2, float(due), last)


@when(
    "{first:d} pieces of rank 0 due in {urgent:d} ms and {late:d} of rank 2 due in {soon:d} ms"
    " wait, and {last:d} of rank 2 due in {due:d} ms"
)
def some_late(context, first, urgent, late, soon, last, due):
    queue(context, 0, float(urgent), first)
    queue(context, 2, float(soon), late)
    queue(context, 2, float(due), last)


@when(
    "{first:d} pieces of rank 0 wait due in {due:d} ms, and {last:d} of rank 2 that were"
    " {state} when queued"
)
def became_late(context, first, due, last, state):
    queue(context, 0, float(due), first)
    queue(context, 2, -1.0, last, since=-500.0 if state == "in time" else 0.0)


@given("a call with {pieces:d} pieces of rank 2 that are {state} was sent")
def call_of_rank(context, pieces, state):
    due = -1.0 if state == "late" else FAR
    context.sharing.record_call([(stage(2, due), 0)] * pieces, LIMITS, 0.0)


@then("rank {rank:d} is expected to wait for its floor for {ms:d} ms with one server")
def floor_after(context, rank, ms):
    ahead = context.queue.count_by_priority(0.0)
    waits = ExpectedWaits(ahead, LIMITS.pieces / FULL_MS, context.sharing.floors(ahead, 0.0))
    assert round(waits.lead_ms(rank)) == ms, waits.lead_ms(rank)


@then("the next call holds {first:d} pieces of rank 0 and {last:d} of rank 2")
def call_holds(context, first, last):
    ranks = by_rank(next_call(context))
    assert (ranks[0], ranks[2]) == (first, last), ranks


@then("the pieces of rank 2 in the next call are due in {due:d} ms")
def due_in(context, due):
    found = [one.job.due for one in next_call(context) if one.job.urgency == 2]
    assert found and set(found) == {float(due)}, found


@given("team large had {large:d} full calls and team small {small:d}")
def teams_had(context, large, small):
    for team, calls in (("large", large), ("small", small)):
        for _ in range(calls):
            context.sharing.record_call([(stage(0, FAR, team=team), 0)] * 12, LIMITS, 0.0)


@when(
    "{large:d} pieces of team large due in {due:d} ms wait,"
    " and behind them {small:d} pieces of team small"
)
def teams_wait(context, large, due, small):
    queue(context, 0, float(due), large, "large")
    queue(context, 0, 2_100.0, small, "small")


@when(
    "{urgent:d} pieces of team large of rank 0, {other:d} of team large of rank 2 and {small:d} of"
    " team small of each wait"
)
def teams_of_ranks(context, urgent, other, small):
    for urgency, pieces in ((0, urgent), (2, other)):
        queue(context, urgency, 2_000.0, pieces, "large")
        queue(context, urgency, 2_100.0, small, "small")


@then("team small takes the places of team large in each rank, and no rank loses a place")
def places_by_rank(context):
    stages = []
    for one in context.queue.waiting:
        stages.append(WaitingStage(one[0]))
        stages[-1].pieces.append(one)
    orders = [
        CallOrder(0.0, FULL_MS, FULL_MS, 12, None, excess).arrange(stages, context.queue.order)
        for excess in (frozenset(), frozenset({"large"}))
    ]
    before, after = ([progress.job for progress, _ in one.waiting] for one in orders)
    assert [one.urgency for one in before] == [one.urgency for one in after]
    for urgency in (0, 2):
        teams = [one.team for one in after if one.urgency == urgency]
        assert teams == ["small"] * 6 + ["large"] * 6, teams


def of_team(context, team):
    return sum(one.job.team == team for one in next_call(context))


@then("the next call holds {pieces:d} pieces of team {team}")
def holds_team(context, pieces, team):
    assert of_team(context, team) == pieces, of_team(context, team)


@given("{number:d} teams that have used 1 to {most:d} ms of the servers' time")
def many_teams(context, number, most):
    context.sums = DecayedSums(2_000.0, 256)
    for used in range(1, most + 1):
        context.sums.add(f"team {used}", float(used), 0.0)
    assert number == most


@then("the {number:d} that used most are remembered")
def most_remembered(context, number):
    sums = context.sums.sums(0.0)
    assert len(sums) == number and min(sums.values()) == 300 - number + 1, min(sums.values())


@then("after {ms:d} ms the sum of a team is {percent:g} percent of what it was")
def decayed(context, ms, percent):
    for later in (ms, ms + 2_000_000):
        left = context.sums.sums(float(later)).get("team 300", 0.0)
        expected = 3.0 * percent if later == ms else 0.0
        assert abs(left - expected) < 0.2, left


@given(
    "ranks 0 and 2 with floors of {first:g} and {last:g} at {rate:g} pieces a millisecond, {load}"
)
def floors(context, first, last, rate, load):
    onset_ms = 0.0 if load == "congested" else 1.5 * FULL_MS
    context.floors = RankFloors({0: first, 2: last}, onset_ms=onset_ms, call_ms=FULL_MS)
    context.rate = rate


@given("over the last 2 s {first:d} pieces of rank 0 and {last:d} of rank 2 were sent")
def sent_before(context, first, last):
    context.floors = replace(context.floors, sent={0: first, 2: last}, memory_ms=2_000.0)


@when(
    "{first:d} pieces of rank 0 and {last:d} of rank 2 wait and rank 0 asks for {part:g} of the"
    " throughput"
)
def expected(context, first, last, part):
    ahead = Counter({0: first, 2: last})
    waits = ExpectedWaits(ahead, context.rate, context.floors)
    above = part * context.rate
    context.waits = {one: waits.wait_ms(one, above if one else 0.0) for one in (0, 2, 6)}


@then("those of ranks 0 and 2 are expected to wait {first:d} and {last:d} ms")
def expected_waits(context, first, last):
    assert (round(context.waits[0]), round(context.waits[2])) == (first, last), context.waits


@then("late pieces are expected to wait {ms:d} ms")
def late_wait(context, ms):
    assert round(context.waits[6]) == ms, context.waits


@when("rank 0 asks for more than its servers make, and a piece of it has just begun to wait")
def begins_to_wait(context):
    now = context.clock.now()
    batcher = context.coordinator.dispatch.batcher("enc")
    batcher.demand.record_arrival(stage(0, now + FAR, 1_000).job)
    batcher.queue.add(stage(0, now + FAR, since=now))
    context.expected = batcher.compute_backlog(now).waits_ms


@then("those of rank {rank:d} are expected to wait for {ms:d} ms there")
def expected_there(context, rank, ms):
    assert round(context.expected[rank]) == ms, context.expected


@given("the coordinator of enc shares {how}")
def coordinator_shares(context, how):
    context.coordinator = find_coordinator(context, "enc")
    settings = context.coordinator.settings
    context.coordinator.settings = replace(settings, share_fairly=how == "fairly")
    context.coordinator.dispatch.batchers.pop("enc", None)


@when(
    "after {calm:d} s for {seconds:d} s more pieces of rank 0 arrive there than it can make,"
    " and some of rank 2"
)
def overload(context, calm, seconds):
    # Two servers make 70 pieces a second; rank 2 asks for 20, rank 0 for 30 and then for 120.
    batcher = context.coordinator.dispatch.batcher("enc")
    context.done = {0: [], 2: []}

    def submit(urgency, number):
        now = context.clock.now()
        due = now + 900.0
        # As StageTimes: half of the fixed time of a call until the next call, and the call itself.
        call_ms = 0.5 * BATCH.call_ms + BATCH.expected_ms(BATCH.pieces)
        if batcher.backlog().waits_ms[urgency] + call_ms > 900.0:
            return
        name = f"{urgency}-{number}"
        job = StageJob(name, 0, "enc", 2, "key", (), now + 3e3, due, urgency, 8e3, "", team=name)
        late = context.done[urgency]

        def done(results):
            late.append((context.clock.now() > due or results[0].failure is not None, number / 60))
            batcher.release([one.handle for one in results if isinstance(one, PieceResult)])

        batcher.submit(job, done)

    def run():
        for number in range((calm + seconds) * 60):
            if number >= calm * 60 or number % 4 == 0:
                submit(0, number)
            if number % 6 == 0:
                submit(2, number)
            context.clock.sleep(1_000.0 / 60)
        context.clock.sleep(3_500.0)

    context.run(run)


@then("{part} of the stages of rank 2 that were expected in time are done in time")
def part_in_time(context, part):
    late = [one for one, at in context.done[2] if at >= 4]
    fraction = 1.0 - sum(late) / len(late)
    assert fraction >= 0.9 if part == "nearly all" else fraction <= 0.5, (fraction, len(late))


@then("in the last 10 s it has done {bound} {number:d} stages of rank 2")
def done_lately(context, bound, number):
    done = sum(not late and at >= 14 for late, at in context.done[2])
    assert done >= number if bound == "at least" else done <= number, done


@when("a request of team desk with stages is sent to each instance")
def team_requests(context):
    def play():
        sent = [
            (one, request(one, PATHS["staged"], context.clock.now()))
            for one in context.fleet.instances
        ]
        gevent.joinall([gevent.spawn(serve, context, *one) for one in sent])

    context.run(play)
    assert all(end[0] == 200 for end in context.ends.values()), context.ends


@then("the coordinator of enc has counted servers' time for team desk and no other")
def counted_for(context):
    batcher = find_coordinator(context, "enc").dispatch.batcher("enc")
    assert set(batcher.sharing.used_ms.scaled) == {"desk"}, batcher.sharing.used_ms.scaled


@then("the pieces that floors sent earlier are counted, and at most {number:d} lines name them")
def counted_and_logged(context, number):
    lines = [one for one in context.lines if one["message_type"] == "order-shared"]
    counted = context.metrics.counts[Metric.FLOOR_PIECES.label]
    assert 0 < len(lines) <= number, len(lines)
    assert 0 < sum(one["floor_pieces"] for one in lines) <= counted
    assert all(one["requests"] == ["r"] and one["service"] == "enc" for one in lines), lines


@given("decisions under load apply from {number:d} servers on")
def min_servers(context, number):
    for one in context.fleet.instances.values():
        one.settings = replace(one.settings, load_min_servers=number)


@then("at {name} pieces of enc are {shared} fairly and memory for their results is {reserved}")
def applies(context, name, shared, reserved):
    batcher = context.fleet.instances[name].dispatch.batcher("enc")
    found = (batcher.share_fairly(), batcher.reserves_results())
    assert found == (shared == "shared", reserved == "reserved"), found
