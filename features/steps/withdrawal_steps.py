# withdrawal_steps.py -- Steps about the withdrawal of work that no caller waits for
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about the withdrawal of work that no caller waits for."""

import gevent
from behave import given, then, when
from forwardbasics import BATCH, PATHS, find_coordinator, placement_coordinator, request, serve

from mountladder.forwarding.piecefailure import PieceFailure
from mountladder.forwarding.stagejob import StageJob
from mountladder_entry.callergone import CallerGoneError

# Due before the pieces of the scenario's request, so sent before them, and not late yet.
DUE_MS = 300.0
PROMPTS_TOPIC = "prompts of llm"


def instance(context, where, topic="enc"):
    """Return the coordinator of a topic or, where another one is named, an instance that is not."""
    if where == "the coordinator":
        return find_coordinator(context, topic)
    running = context.fleet.instances.values()
    return next(one for one in running if one.fleet.coordinator(topic) is not None)


def job(context, id_, pieces, due_ms, deadline_ms=2_000.0):
    now = context.clock.now()
    return StageJob(id_, 0, "enc", pieces, "key", (), now + deadline_ms, now + due_ms, 0, 8e3, "")


def fill(context, calls):
    dispatch = instance(context, "the coordinator").dispatch
    for number in range(calls):
        dispatch.submit(
            job(context, f"full-{number}", BATCH.pieces, DUE_MS),
            lambda results: dispatch.release("enc", [one.handle for one in results]),
        )


@given("{calls:d} full calls to enc that are due first")
def busy(context, calls):
    context.before = lambda: fill(context, calls)


@given("{calls:d} full calls to enc that are due first, from {ms:d} ms on")
def busy_later(context, calls, ms):
    context.before = lambda: context.clock.call_later(float(ms), lambda: fill(context, calls))


def leave(context, name, sent, after_ms):
    def play():
        getattr(context, "before", lambda: None)()
        task = gevent.spawn(serve, context, name, sent)
        context.clock.sleep(after_ms)
        task.kill(CallerGoneError())

    context.run(play)


def staged(context, pieces=(1, 1)):
    return request("r", PATHS["staged"], context.clock.now(), pieces=pieces)


@when("the caller of staged request r to {where} leaves after {ms:g} ms")
def leaves(context, ms, where):
    name = instance(context, where).settings.name
    leave(context, name, staged(context), ms)


@when("the caller of staged request r with {pieces:d} pieces to {where} leaves after {ms:d} ms")
def leaves_many(context, pieces, ms, where):
    name = instance(context, where).settings.name
    leave(context, name, staged(context, (pieces, 0)), float(ms))


@when("an instance with staged request r, which another one coordinates, crashes after {ms:d} ms")
def instance_crashes(context, ms):
    one = instance(context, "another instance")

    def play():
        context.before()
        task = gevent.spawn(serve, context, one.settings.name, staged(context))
        context.clock.sleep(float(ms))
        # A process that crashes withdraws none of its submissions.
        one.dispatch.submissions.clear()
        one.close()
        task.kill()
        context.fleet.instances.pop(one.settings.name)

    context.run(play)


@when("a stage with a deadline in {ms:d} ms is submitted to {where}")
def with_deadline(context, ms, where):
    context.settled = []

    def play():
        context.before()
        dispatch = instance(context, where).dispatch
        dispatch.submit(job(context, "r", 1, DUE_MS, float(ms)), context.settled.append)

    context.run(play)


@given("messages between instances take {ms:d} ms")
def latency(context, ms):
    context.fleet.network.latency_ms = float(ms)
    for one in context.fleet.network.links:
        one.latency_ms = one.other.latency_ms = float(ms)


@when("the caller of a prompt leaves after {ms:d} ms, not at the placement coordinator")
def prompt_leaves(context, ms):
    name = instance(context, "another instance", PROMPTS_TOPIC).settings.name
    leave(context, name, request("r", PATHS["stream"], context.clock.now()), float(ms))


@then("{number:d} pieces of r ran")
def pieces_ran(context, number):
    calls = context.fleet.upstream.piece_calls
    found = [piece for call in calls for piece in call.pieces if piece.request == "r"]
    assert len(found) == number, found


@then("no piece of r counts as waiting")
def none_waits(context):
    queue = instance(context, "the coordinator").dispatch.batcher("enc").queue
    assert not [one for one in queue.waiting if one[0].job.request == "r"]


@then("request r was sent to no model server")
def not_sent(context):
    assert not context.fleet.upstream.arrivals.get("r")


@then("the stage was settled as late")
def settled_late(context):
    ((result,),) = context.settled
    assert result.failure is PieceFailure.LATE, result


@then("no server is considered to be prefilling a prompt")
def nothing_prefilled(context):
    for one in context.fleet.instances.values():
        coordinator = placement_coordinator(one)
        assert (
            not coordinator.placed and not coordinator.placement.pending_tokens
        ), coordinator.placed
