# piece_steps.py -- Steps about batching the pieces of stages
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about batching the pieces of stages."""

from collections import Counter
from dataclasses import replace

import gevent
from behave import given, then, when
from forwardbasics import PATHS, ROUTES, NullDispatch, find_coordinator, request, serve

from mountladder.forwarding.pieceresult import PieceResult
from mountladder.forwarding.routestage import RouteStage
from mountladder.forwarding.stageflow import StageFlow

NAMES = ("a-1", "a-2", "b-1")


def send_staged(context, number, within_ms=0.0):
    def send(n):
        context.clock.sleep(n * within_ms / number)
        sent = request(f"s{n}", PATHS["staged"], context.clock.now())
        serve(context, NAMES[n % len(NAMES)], sent)

    context.began = context.clock.now()
    context.run(lambda: gevent.joinall([gevent.spawn(send, n) for n in range(number)]))
    context.took_ms = context.clock.now() - context.began


@when("{number:d} staged requests come at once over all instances")
def at_once(context, number):
    context.inputs = {}
    upstream = context.fleet.upstream
    original = upstream.open

    def open_(server, call, limit_ms):
        context.inputs[call.request.id] = call.inputs
        return original(server, call, limit_ms)

    upstream.open = open_
    send_staged(context, number)


@when("{number:d} staged requests come within {ms:d} ms over all instances")
def within(context, number, ms):
    send_staged(context, number, float(ms))


@when("a staged request is sent to another instance")
def to_another(context):
    name = next(one for one in NAMES if one != context.coordinator)
    context.began = context.clock.now()
    context.run(serve, context, name, request("s0", PATHS["staged"], context.clock.now()))
    context.took_ms = context.clock.now() - context.began


@when("a staged request is sent to a-1")
def to_first(context):
    context.run(serve, context, "a-1", request("s0", PATHS["staged"], context.clock.now()))


@given("the coordinator of service {service} is cut off from its peers")
def coordinator_cut_off(context, service):
    context.coordinator = find_coordinator(context, service).settings.name
    for other in NAMES:
        if other != context.coordinator:
            context.fleet.network.cut_instances.add(frozenset({other, context.coordinator}))


@then("every staged request ends with status {status:d}")
def all_end(context, status):
    assert context.ends
    for id_, end in context.ends.items():
        assert (end[0], end[2]) == (status, 0), (id_, end)


@then("at most {calls:d} calls carried all {pieces:d} pieces")
def calls(context, calls, pieces):
    made = context.fleet.upstream.piece_calls
    assert sum(len(call.pieces) for call in made) == pieces
    assert len(made) <= calls, [(call.server, call.at, len(call.pieces)) for call in made]


@then("no piece ran twice")
def ran_once(context):
    made = Counter(
        (piece.request, piece.stage, piece.fragment)
        for call in context.fleet.upstream.piece_calls
        for piece in call.pieces
    )
    assert set(made.values()) == {1}, made


@then("each request was sent with the handles of its own pieces")
def own_handles(context):
    handles = [handle for inputs in context.inputs.values() for handle in inputs]
    assert len(handles) == len(set(handles)) == len(context.inputs)
    for call in context.fleet.upstream.piece_calls:
        for piece in call.pieces:
            if piece.stage == 0:
                assert (piece.key, piece.inputs) == (f"key of {piece.request}", ())
            else:
                assert piece.key == "" and len(piece.inputs) == 1


@then("it took at most {ms:d} ms")
def took(context, ms):
    assert context.took_ms <= ms, context.took_ms


@then("every result was released")
def all_released(context):
    made = sum(len(call.pieces) for call in context.fleet.upstream.piece_calls)
    assert len(context.fleet.upstream.released) == len(set(context.fleet.upstream.released)) == made


@then("some staged requests are refused with {code:d} at once and name a time to retry")
def refused(context, code):
    context.refused = {id_: end for id_, end in context.ends.items() if end[2] == code}
    assert context.refused
    assert all(
        end[3] == "not_run" and end[4].retry_after_ms > 0 for end in context.refused.values()
    )


@then("no piece of a refused request ran")
def refused_not_run(context):
    made = {piece.request for call in context.fleet.upstream.piece_calls for piece in call.pieces}
    assert not made & set(context.refused)


@then("the staged request ends with class {class_}")
def ends_as(context, class_):
    assert context.ends["s0"][3] == class_, context.ends


@then("every result was released once")
def all_released_once(context):
    made = sum(len(call.pieces) for call in context.fleet.upstream.piece_calls)
    freed = context.fleet.upstream.released
    assert len(freed) == len(set(freed)) == made, (len(freed), made)


@then("no batcher holds a piece or a result")
def nothing_held(context):
    for instance in context.fleet.instances.values():
        for batcher in instance.dispatch.batchers.values():
            assert not batcher.queue and not batcher.hedged and not batcher.result_memory.results
            assert sum(batcher.result_memory.used.values()) == 0


class RecordingDispatch(NullDispatch):
    """Records stages and settles them at once, each piece with its own handle."""

    def __init__(self):
        self.jobs = []

    def submit(self, job, done):
        self.jobs.append(job)
        done(tuple(PieceResult(f"{job.stage}/{n}") for n in range(job.pieces)))


@given("a route whose third stage depends on the second of two initial stages")
def three_stages(context):
    stages = (RouteStage("x", (), 1.0), RouteStage("y", (), 1.0), RouteStage("z", (1,), 1.0))
    staged = next(one for one in ROUTES if one.name == "staged")
    context.route = replace(staged, stages=stages)


@when("its stages run with {first:d}, {second:d} and {third:d} pieces")
def run_stages(context, first, second, third):
    sent = request("r", PATHS["staged"], context.clock.now(), pieces=(first, second, third))
    context.dispatch = RecordingDispatch()
    deadline = context.clock.now() + 1_000.0
    flow = StageFlow(sent, context.route, deadline, 0, context.dispatch, context.clock)
    context.handles = context.run(flow.run)


@then("the third stage gets the {number:d} results of the second")
def gets_second(context, number):
    inputs = {job.stage: job.inputs for job in context.dispatch.jobs}
    assert inputs == {0: (), 1: (), 2: tuple(f"1/{n}" for n in range(number))}, inputs
    assert context.handles == ("0/0", "0/1", "2/0"), context.handles
