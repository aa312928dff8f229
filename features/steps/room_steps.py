# room_steps.py -- Steps about the result memory of servers and the rate of pieces
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about the result memory of servers and the rate of pieces."""

import random

import gevent
from behave import given, then, when
from forwardbasics import BATCH, PATHS, request, serve

from mountladder.code import Code
from mountladder.errors import StageError
from mountladder.forwarding.batchrun import BatchRun
from mountladder.forwarding.forwardrun import ForwardRun
from mountladder.forwarding.jobprogress import JobProgress
from mountladder.forwarding.piecequeue import PieceQueue
from mountladder.forwarding.piecerate import PieceRate
from mountladder.forwarding.serverrecord import listed_server
from mountladder.forwarding.stagecallstate import StageCallState
from mountladder.forwarding.stagejob import StageJob
from mountladder.results.resultmemory import ResultMemory
from mountladder.routing.serverstate import ServerState
from mountladder_standins.serverfault import ServerFault

SERVER = "enc-1"


def job(due, datacentre="", pieces=1):
    return StageJob("r", 0, "enc", pieces, "key", (), 1e9, due, 1, 8.0, datacentre)


@when("the first event of a lasting request to a-1 has arrived")
def first_event_arrives(context):
    sent = request("r", PATHS["lasting"], context.clock.now())
    context.answer = context.run(context.fleet.send, "a-1", sent)
    context.stack.callback(context.answer.body.close)


@given("the stream of the first server that runs request r is cut after its first events")
def first_stream_cut(context):
    upstream = context.fleet.upstream
    original = upstream.open

    def open_(server, call, limit_ms):
        first = not upstream.runs[call.request.id]
        upstream.faults = {server.name: ServerFault.CUT} if first else {}
        return original(server, call, limit_ms)

    upstream.open = open_


@then("request r was answered completely by {servers:d} servers")
def answered_completely(context, servers):
    status, body, code, _, error = context.ends["r"]
    assert (status, code, body.count(b"id: ")) == (200, 0, 6), (status, code, body, error)
    assert len(set(context.fleet.upstream.runs["r"])) == servers


@then("each of its stages ran twice")
def stages_ran_twice(context):
    made = [piece.stage for call in context.fleet.upstream.piece_calls for piece in call.pieces]
    assert sorted(made) == [0, 0, 1, 1], made


@given("a piece with its inputs in data centre a that is due in {due:d} ms")
def piece_with_inputs(context, due):
    now = context.clock.now()
    context.progress = JobProgress(job(now + due, "a"), lambda results: None, now)
    context.state = ServerState(listed_server(SERVER, "enc", "x", "b", 8, False), random.Random(1))


@then("after {ms:d} ms a free server of data centre b takes it")
def takes(context, ms):
    assert remote_may_run(context, ms)


@then("after {ms:d} ms a free server of data centre b does not take it")
def does_not_take(context, ms):
    assert not remote_may_run(context, ms)


def remote_may_run(context, ms):
    context.run(context.clock.sleep, float(ms))
    now = context.clock.now()
    return PieceQueue().may_run_at(context.progress, context.state, {"a", "b"}, BATCH, now)


@given("a server with result memory of {capacity:d} bytes, {used:d} of them known to be in use")
def server_memory(context, capacity, used):
    context.memory = ResultMemory()
    context.memory.reserve(SERVER, used)
    context.capacity = capacity


@when("it is found full, with results kept for {ms:d} ms")
def found_full(context, ms):
    now = context.clock.now()
    unknown = context.capacity - context.memory.used_bytes(SERVER, now)
    context.memory.record_full(SERVER, unknown, now, ms)


@then("{number:g} bytes are considered in use there")
def in_use(context, number):
    assert context.memory.used_bytes(SERVER, context.clock.now()) == number


@given("{pieces:d} pieces are completed every {ms:d} ms")
def completed_every(context, pieces, ms):
    context.rate = PieceRate(context.clock)

    def make():
        while True:
            context.clock.sleep(ms)
            context.rate.add(pieces)

    context.stack.callback(gevent.spawn(make).kill)


@then("no rate is measured")
def no_rate(context):
    assert context.rate.measured() is None


@when("pieces begin to wait and {ms:d} ms go by")
def begin_to_wait(context, ms):
    context.rate.set_congested(True)
    context.run(context.clock.sleep, ms)


@then("the measured rate is {rate:g} pieces a millisecond")
def rate_is(context, rate):
    assert abs(context.rate.measured() - rate) < 0.008, context.rate.measured()


@when("no pieces wait any more")
def none_waits(context):
    context.rate.set_congested(False)


@given("{pieces:d} pieces wait for service enc at its coordinator")
def pieces_wait(context, pieces):
    context.batcher = context.fleet.instances["a-1"].dispatch.batcher("enc")
    progress = JobProgress(job(1e9, "", pieces), lambda results: None, context.clock.now())
    context.batcher.queue.add(progress)


@given("its servers have completed {pieces:d} pieces in each {ms:d} ms for {all_ms:d} ms")
def have_completed(context, pieces, ms, all_ms):
    context.batcher.rate.set_congested(True)
    for _ in range(all_ms // ms):
        context.run(context.clock.sleep, float(ms))
        context.batcher.rate.add(pieces)


@then("new pieces are expected to wait for at least {ms:d} ms")
def expected_wait(context, ms):
    waits = context.batcher.backlog().waits_ms
    assert waits[-1] >= ms, waits


@when("a request with stages was served by a-1")
def staged_first(context):
    sent = request("first", PATHS["staged"], context.clock.now())
    context.run(serve, context, "a-1", sent)


@when("the same request is retried at a-1 with half of its time")
def staged_again(context):
    context.sent = request("again", PATHS["staged"], context.clock.now(), allowed_ms=1_500.0)
    context.run(serve, context, "a-1", context.sent)


@then("it has the rank of its route")
def own_rank(context):
    forwarder = context.fleet.instances["a-1"].forwarder
    run = forwarder.admit(context.sent)
    assert isinstance(run, ForwardRun)
    assert run.is_returning
    assert run.urgency == run.route.priority == 1


@given("a call with {pieces:d} pieces to {name} that is overdue")
def overdue(context, pieces, name):
    context.batcher = context.fleet.instances["a-1"].dispatch.batcher("enc")
    router = context.batcher.servers.router
    server = next(
        one for one in context.batcher.servers.division.servers("enc") if one.name == name
    )
    context.state = router.state(server)
    context.call = begin(context, pieces)
    context.run(context.clock.sleep, 600.0)
    context.batcher.servers.mark_overdue(context.state, context.call)


def begin(context, pieces):
    call = StageCallState(context.clock.now(), BATCH.expected_ms(pieces), pieces)
    context.batcher.servers.begin(context.state, call)
    return call


def may_be_sent(context):
    servers, now = context.batcher.servers, context.clock.now()
    if context.state not in servers.free(BATCH, now):
        return 0
    return servers.max_pieces(context.state, BATCH)


@then("{name} may be sent {pieces:d} pieces in one more call")
def sent_more(context, name, pieces):
    assert may_be_sent(context) == pieces, may_be_sent(context)


@then("{name} may be sent nothing more")
def sent_nothing(context, name):
    assert may_be_sent(context) == 0


@when("{name} answers that call")
def answers(context, name):
    call = begin(context, 2)
    context.run(context.clock.sleep, 200.0)
    context.batcher.servers.answered(context.state, context.clock.now())
    context.batcher.servers.end(context.state, call, context.clock.now())


@when("{name} is sent one more call that is overdue as well")
def overdue_too(context, name):
    call = begin(context, 2)
    context.run(context.clock.sleep, 400.0)
    context.batcher.servers.mark_overdue(context.state, call)


def fail(context):
    now = context.clock.now()
    run = BatchRun(context.batcher, context.state, [], BATCH, now)
    run.call = context.call
    run.failed(StageError("", Code.STAGE_STALLED))


@then("it stays in use when the overdue call fails")
def stays(context):
    fail(context)
    assert context.state.usable(context.clock.now())


@then("it is taken out of use when the overdue call fails")
def taken_out(context):
    fail(context)
    assert not context.state.usable(context.clock.now())


@when("results of {size:d} bytes are lost there for {ms:d} ms")
def results_lost(context, size, ms):
    context.memory.record_lost(SERVER, size, context.clock.now() + ms)
