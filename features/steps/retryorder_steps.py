# retryorder_steps.py -- Steps about the place of retries among requests that cannot be on time
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about the place of retries among requests that cannot be on time."""

from behave import given, then, when
from retrybasics import KINDS

from mountladder.admission.attemptkind import AttemptKind, attempt_kind
from mountladder.clocks.virtualclock import VirtualClock
from mountladder.forwarding.backlog import (
    CLASS_EARLY_RETURNING,
    CLASS_RETURNING,
    FIRST_CLASS_GIVING_WAY,
)
from mountladder.forwarding.jobprogress import JobProgress
from mountladder.forwarding.piecequeue import PieceQueue
from mountladder.forwarding.stagedemand import StageDemand
from mountladder.forwarding.stagejob import StageJob
from mountladder.forwarding.stagenotice import StageNotice


def stage(urgency, due, attempt, pieces=1):
    job = StageJob("r", 0, "enc", pieces, "key", (), 1e9, due, urgency, 8e3, "", attempt=attempt)
    return JobProgress(job, lambda results: None, 0.0)


@given("pieces that are late, of {first} of rank {rank:d} and of {second} of rank {other:d}")
def late_pieces(context, first, rank, second, other):
    context.queue = PieceQueue()
    # The less preferred ones come first, and are due sooner.
    context.queue.add(stage(other, -900.0, KINDS[second]))
    context.queue.add(stage(rank, -100.0, KINDS[first]))
    context.expected = [(KINDS[first], rank), (KINDS[second], other)]


@given("pieces of rank {rank:d} of a first attempt that can be on time")
def pieces_in_time(context, rank):
    context.queue.add(stage(rank, 1e6, AttemptKind.FIRST))
    context.expected.insert(0, (AttemptKind.FIRST, rank))


@when("the calls are filled in their order")
def calls_filled(context):
    context.queue.sort(0.0)


@then("those that can be on time go first, then those of the {first}, then those of the {second}")
def in_order(context, first, second):
    found = [(one.job.attempt, one.job.urgency) for one, _ in context.queue.waiting]
    assert found == context.expected, found


@given("a service that makes {rate:g} pieces a millisecond")
def service_makes(context, rate):
    context.rate = rate
    context.demand = StageDemand(VirtualClock())
    context.queue = PieceQueue()


def waits_ms(context):
    waiting = context.queue.count_by_priority(0.0)
    return context.demand.waits_ms(waiting, context.rate, 0.0)


@when("4 pieces of rank 1 can be on time, and 8 of a {kind} that {are} cannot")
def some_wait(context, kind, are):
    context.queue.add(stage(1, 1e6, AttemptKind.FIRST, 4))
    if are == "wait":
        context.queue.add(stage(0, -1.0, KINDS[kind], 8))
    else:
        context.demand.announce(StageNotice("r", 1, "enc", 8, 0, True, KINDS[kind]))


@then(
    "a return, a first attempt and an early retry are expected to wait {first:g},"
    " {second:g} and {third:g} ms"
)
def kinds_wait(context, first, second, third):
    waits = waits_ms(context)
    classes = (CLASS_RETURNING, FIRST_CLASS_GIVING_WAY, CLASS_EARLY_RETURNING)
    assert [round(waits[one]) for one in classes] == [first, second, third], waits


@when("the first attempt of a request was {age:g} ms ago")
def first_attempt_ago(context, age):
    context.kind = attempt_kind(age)


@then("it is a {kind}")
def kind_is(context, kind):
    assert context.kind is KINDS[kind], context.kind


@when("{number:d} pieces of rank {rank:d} wait there")
def pieces_wait(context, number, rank):
    context.queue.add(stage(rank, 1e6, AttemptKind.FIRST, number))


@then("those of rank {rank:d} are expected to wait for {ms:d} ms")
def rank_waits(context, rank, ms):
    waits = waits_ms(context)
    assert round(waits[rank]) == ms, waits
