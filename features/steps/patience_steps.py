# patience_steps.py -- Steps about streams that are held until their callers would leave
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about streams that are held until their callers would leave."""

import math
from dataclasses import replace
from types import SimpleNamespace

import gevent
from behave import given, then, when
from forwardbasics import PATHS, ROUTES, NullDispatch, catalogue, find_coordinator, request, serve
from logrecorder import record_lines

from mountladder.admission.hold import Hold
from mountladder.admission.modelwait import ModelWait
from mountladder.admission.patience import patience_ms
from mountladder.clocks.virtualclock import VirtualClock
from mountladder.code import Code
from mountladder.errors import MountladderError, RefusalError
from mountladder.forwarding.piecefailure import PieceFailure
from mountladder.forwarding.pieceresult import PieceResult
from mountladder.forwarding.routestage import RouteStage
from mountladder.forwarding.stageflow import StageFlow
from mountladder.forwarding.stagejob import StageJob
from mountladder.forwarding.submission import Submission

SETTLE_MS = 700.0
STAGED = next(one for one in ROUTES if one.name == "staged")
SAFE = next(one for one in ROUTES if one.name == "safe")
FLOW_DEADLINE_MS, FLOW_END_MS = 2_300.0, 2_200.0


@given("a {kind} request with a latency target of 600 ms that is allowed {allowed:d} ms")
def held_request(context, kind, allowed):
    route = {"stream": STAGED, "safe": SAFE}[kind]
    assert (route.target_ms, patience_ms(STAGED)) == (600.0, 2_400.0)
    context.forecast = SimpleNamespace(patience_ms=patience_ms)
    run = SimpleNamespace(
        route=route,
        request=request("r", PATHS["staged"], 0.0),
        deadline=float(allowed),
        context=SimpleNamespace(forecast=context.forecast),
    )
    context.hold = Hold(run)


@given("its first event has arrived")
def first_event_arrived(context):
    context.hold.is_over = True


@given("admit_pipeline is switched off")
def patience_unknown(context):
    context.forecast.patience_ms = lambda route: math.inf


@then("it must have been sent to a server by {deadline:g}, and its stages end by {end:g}")
def held_until(context, deadline, end):
    found = context.hold.deadline(), context.hold.stages_end()
    assert found == (deadline, end), found


class EndingDispatch(NullDispatch):
    """Runs stages as a scenario says, and ends them at their time limits like a coordinator."""

    def __init__(self, clock, outcomes):
        self.clock = clock
        self.outcomes = outcomes

    def submit(self, job, done):
        outcome = self.outcomes[job.stage]
        if outcome.startswith("is done in"):
            wait_ms = float(outcome.split()[3])
            result = PieceResult(f"{job.stage}/0")
        elif outcome == "does not come back":
            return object()
        elif outcome == "is never begun" and job.give_up <= job.deadline:
            wait_ms, result = job.give_up - self.clock.now(), PieceResult(
                "", PieceFailure.NOT_BEGUN
            )
        else:
            wait_ms, result = job.deadline - self.clock.now(), PieceResult("", PieceFailure.LATE)
        self.clock.call_later(wait_ms, lambda: done((result,)))
        return object()


@given("a stream with two initial stages that end at 2200 ms, and a third after the second")
def two_initial(context):
    context.clock = VirtualClock()
    stages = (RouteStage("x", (), 1.0), RouteStage("y", (), 1.0), RouteStage("z", (1,), 1.0))
    context.route = replace(STAGED, stages=stages)


@when("the first stage {first} and the second {second}")
def stages_run(context, first, second):
    pieces = (0 if first == "has no pieces" else 1, 1, 1)
    sent = request("r", PATHS["staged"], 0.0, pieces=pieces)
    dispatch = EndingDispatch(context.clock, (first, second, "is done in 700 ms"))
    context.flow = StageFlow(
        sent,
        context.route,
        FLOW_DEADLINE_MS,
        0,
        dispatch,
        context.clock,
        stages_end=FLOW_END_MS,
    )
    run_flow(context)


def run_flow(context, start_ms=0.0):
    """Run the context's stages from a time on, and record how they end."""

    def run():
        context.clock.sleep(start_ms)
        try:
            context.flow.run()
            context.ended = "done"
        except MountladderError as error:
            is_refusal = error.result.value == "not_run"
            context.ended = "refused" if is_refusal else f"failed {error.code.number}"

    context.clock.run(gevent.spawn(run))


@then("it ends as {outcome} at {ms:d} ms")
def ends_at(context, outcome, ms):
    assert (context.ended, round(context.clock.now())) == (outcome, ms), (
        context.ended,
        context.clock.now(),
    )
    assert context.flow.begun == (outcome != "refused")


@given("a fleet whose callers wait 2400 ms for streams with two initial stages, and 6000 ms in all")
def held_fleet(context):
    fleet, plain = context.fleet, catalogue(1)
    stages = (RouteStage("enc", (), 8_000.0), RouteStage("enc", (), 8_000.0))
    route = replace(STAGED, stages=stages, timeout_ms=6_000.0)
    fleet.configure(replace(plain, routes={"desk.x": (route,)}))
    for name in ("a-1", "a-2", "b-1"):
        fleet.start(name)
    for number in range(2):
        fleet.add_server(f"enc-{number}", "enc", "ab"[number])
        fleet.add_server(f"llm-{number}", "llm", "ab"[number])
    context.run(context.clock.sleep, SETTLE_MS)
    record_lines(context)


@given("its stage servers are busy for {ms:d} ms with calls that are expected to end soon")
def busy_servers(context, ms):
    upstream, clock = context.fleet.upstream, context.clock
    plain = upstream.run_pieces

    def run_pieces(server, pieces, limit_ms, on_notices):
        made = plain(server, pieces, limit_ms, on_notices)
        clock.sleep(float(ms))
        return made

    upstream.run_pieces = run_pieces
    batcher = find_coordinator(context, "enc").dispatch.batcher("enc")
    later = clock.now() + 20_000.0

    def keep_busy():
        for number in range(2):
            job = StageJob(f"other {number}", 0, "enc", 8, "key", (), later, later, 0, 8.0, "")
            batcher.submit(job, lambda results: None)
            clock.sleep(5.0)

    context.run(keep_busy)
    assert len(upstream.piece_calls) == 2, upstream.piece_calls


@when("request r of a held stream is sent to a-1")
def held_sent(context):
    sent = request("r", PATHS["staged"], context.clock.now(), allowed_ms=6_000.0)
    context.run(serve, context, "a-1", sent)


@when("request r of a stream whose body took {ms:d} ms is sent to the coordinator of its stages")
def late_body_sent(context, ms):
    sent = request("r", PATHS["staged"], context.clock.now() - ms, allowed_ms=6_000.0)
    coordinator = find_coordinator(context, "enc").settings.name

    def send():
        serve(context, coordinator, sent)
        context.clock.sleep(SETTLE_MS)

    context.run(send)


@then("request r ends between {first:d} and {last:d} ms as {outcome}")
def ends_between(context, first, last, outcome):
    elapsed_ms = context.ended_at["r"] - context.arrived["r"]
    assert first <= elapsed_ms <= last, elapsed_ms
    _, _, code, how, error = context.ends["r"]
    found = f"{'refused' if how == 'not_run' else how} {code}"
    assert found == outcome, context.ends
    if how == "not_run":
        assert error.retry_after_ms > 0


@then("no piece of it has run, and none is waiting")
def no_piece(context):
    calls = context.fleet.upstream.piece_calls
    assert not [piece for call in calls for piece in call.pieces if piece.request == "r"]
    for instance in context.fleet.instances.values():
        queues = [one.queue.waiting for one in instance.dispatch.batchers.values()]
        waiting = [progress.job.request for queue in queues for progress, _ in queue]
        assert "r" not in waiting, waiting


@then("line held-too-long says that it was refused")
def line_held(context):
    (line,) = [one for one in context.lines if one.get("message_type") == "held-too-long"]
    assert (line["request"], line["outcome"], line["patience_ms"]) == ("r", "refused", 2_400), line
    assert line["held_ms"] < line["patience_ms"] < line["allowed_ms"], line


@then("{number:d} requests count as held_too_long")
def counted(context, number):
    assert context.fleet.instances["a-1"].metrics.counts["held_too_long"] == number


@given("its model servers ask all instances to back off for {ms:d} ms once the stages run")
def back_off(context, ms):
    upstream, plain = context.fleet.upstream, context.fleet.upstream.run_pieces

    def run_pieces(server, pieces, limit_ms, on_notices):
        for instance in context.fleet.instances.values():
            for one in instance.directory.available("llm"):
                instance.router.state(one).back_off(float(ms), context.clock.now())
        return plain(server, pieces, limit_ms, on_notices)

    upstream.run_pieces = run_pieces


@then("no model server was sent it")
def not_sent(context):
    assert not context.fleet.upstream.arrivals["r"]


@given("nothing comes back of the stages that a-1 hands over")
def nothing_back(context):
    context.fleet.instances["a-1"].dispatch.submit = lambda job, done: Submission(0, job, done)


@when("a stream is answered by a-1, and its waits for a quarantine are recorded")
def answered(context):
    sent = request("r", PATHS["staged"], context.clock.now(), allowed_ms=6_000.0)
    context.held_run = run = context.fleet.instances["a-1"].forwarder.admit(sent)
    context.limits_ms = []
    run.tracked.admit = context.limits_ms.append
    context.run(lambda: list(run.answer().body))


@then("it was allowed to wait for less than 2300 ms")
def allowed_wait(context):
    assert len(context.limits_ms) == 1 and 0 < context.limits_ms[0] < 2_300, context.limits_ms


@then("after its first event it may be held until its deadline")
def held_until_deadline(context):
    run = context.held_run
    assert run.hold.deadline() == run.deadline == run.request.arrived + 6_000.0
    assert math.isinf(run.hold.stages_end())


@given(
    "a held stream for service {service}, whose servers keep prompts waiting for {ms:d} ms"
    " and others for {other:d} ms"
)
def held_for_service(context, service, ms, other):
    instance = context.fleet.instances["a-1"]
    waits = {service: ModelWait(float(ms), 0.0)}
    instance.forwarder.context.forecast.pipeline.wait = lambda name, urgency, gives_way: waits.get(
        name, ModelWait(float(other), 0.0)
    )
    sent = request("r", PATHS["staged"], context.clock.now(), allowed_ms=6_000.0)
    context.held_run = run = instance.forwarder.admit(sent)
    run.service = service


@then("the time to retry after its late refusal counts {ms:d} ms for model servers")
def late_retry(context, ms):
    run, expected = context.held_run, []
    forecast = run.context.forecast
    plain = forecast.retry_after_ms

    def retry_after_ms(sent, route, expected_ms):
        expected.append(expected_ms)
        return plain(sent, route, expected_ms)

    forecast.retry_after_ms = retry_after_ms
    run.late_refusal(RefusalError("", Code.DEADLINE_UNMEETABLE))
    without = forecast.expect(run.request, run.route, run.urgency, service="other")
    counted_ms = (expected[0] - without.ms) / without.factor
    assert round(counted_ms) == ms, (expected, without)
