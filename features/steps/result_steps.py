# result_steps.py -- Steps about the memory for stage results
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about the memory for stage results."""

import itertools
from collections import Counter
from dataclasses import replace
from types import SimpleNamespace

import gevent
from behave import given, then, when
from forwardbasics import BATCH, PATHS, ROUTES, catalogue, find_coordinator, request, serve

from mountladder.clocks.virtualclock import VirtualClock
from mountladder.code import Code
from mountladder.errors import StageError
from mountladder.forwarding.batchrun import BatchRun
from mountladder.forwarding.catalogue import Catalogue
from mountladder.forwarding.jobprogress import JobProgress
from mountladder.forwarding.piecefailure import PieceFailure
from mountladder.forwarding.piecequeue import PieceQueue
from mountladder.forwarding.pieceresult import PieceResult
from mountladder.forwarding.routestage import RouteStage
from mountladder.forwarding.service import Service
from mountladder.forwarding.stagecallstate import StageCallState
from mountladder.forwarding.stagejob import StageJob
from mountladder.forwarding.stagerelease import StageRelease
from mountladder.forwarding.submission import Submission
from mountladder.metrics.memorymetrics import MemoryMetrics
from mountladder.results.inputrelease import InputRelease
from mountladder.results.releasableresults import ReleasableResults
from mountladder.results.releaseguard import ReleaseGuard
from mountladder.results.resultmemory import ResultMemory
from mountladder.results.resultneed import need
from mountladder.results.serverusage import ServerUsage
from mountladder.results.usagereport import UsageReport

SCAN_BYTES = 20_000.0
SCAN = replace(BATCH, result_memory_mb=0.1)
SETTLE_MS = 1_500.0
LACKS = "lacks an input"
STAGES = {
    "rank": (RouteStage("scan", (), SCAN_BYTES), RouteStage("rank", (0,), 8.0)),
    "both rank and sum": (
        RouteStage("scan", (), SCAN_BYTES),
        RouteStage("rank", (0,), 8.0),
        RouteStage("sum", (0,), 8.0),
    ),
}


def configure(context, stages):
    plain = catalogue(1)
    routes = tuple(replace(one, stages=stages) if one.stages else one for one in ROUTES)
    services = {name: Service(name, 100, batch=BATCH) for name in ("rank", "sum")}
    services |= plain.services | {"scan": Service("scan", 100, batch=SCAN)}
    context.fleet.configure(replace(plain, routes={"desk.x": routes}, services=services))


def start(context, instances, servers):
    for name in instances:
        context.fleet.start(name)
    for name, service, datacentre in servers:
        context.fleet.add_server(name, service, datacentre)
    context.run(context.clock.sleep, SETTLE_MS)
    record_calls(context)


def record_calls(context):
    """Record calls and releases; a piece fails if an input was released before its call."""
    upstream = context.fleet.upstream
    run_pieces, free = upstream.run_pieces, upstream.free
    context.calls, context.freed, context.made = [], [], []
    context.disturb = lambda call: None

    def run(server, pieces, limit_ms, on_notices):
        call = SimpleNamespace(
            service=server.labels["service"],
            began=context.clock.now(),
            pieces=pieces,
            ended=None,
        )
        context.calls.append(call)
        gone = {one for one in pieces if set(one.inputs) & set(upstream.released)}
        gone |= set(pieces) if context.disturb(call) == LACKS else set()
        results = run_pieces(server, pieces, limit_ms, on_notices)
        call.ended = context.clock.now()
        results = tuple(
            PieceResult("", PieceFailure.INPUT_GONE) if piece in gone else result
            for piece, result in zip(pieces, results, strict=True)
        )
        context.made += [one.handle for one in results if one.handle]
        return results

    def free_(server, handles, on_notices):
        context.freed += [(context.clock.now(), one) for one in handles]
        free(server, handles, on_notices)

    upstream.run_pieces, upstream.free = run, free_


@given("a fleet whose stages are scan and then {following}")
def pipeline_fleet(context, following, stages=None):
    context.stages = stages or STAGES[following]
    configure(context, context.stages)
    services = ("scan", "rank", "sum", "llm")
    servers = [(f"{one}-{n}", one, "ab"[n - 1]) for one in services for n in (1, 2)]
    start(context, ("a-1", "a-2", "b-1"), servers)
    context.sums = 1


@given("a fleet whose results of scan are as large as the memory for them")
def large_results_fleet(context):
    stages = (replace(STAGES["rank"][0], result_bytes=SCAN.result_memory_bytes), STAGES["rank"][1])
    pipeline_fleet(context, "rank", stages)


@given("memory for results is not reserved")
def not_reserved(context):
    for one in context.fleet.instances.values():
        one.settings = replace(one.settings, reserve_results=False)


@given("memory for results is not reserved by {where}")
def not_reserved_by(context, where):
    coordinator = find_coordinator(context, "scan", "a")
    for one in context.fleet.instances.values():
        if (one is coordinator) == (where == "the coordinator of data centre a"):
            one.settings = replace(one.settings, reserve_results=False)


@given("the request has no piece of sum")
def no_sums(context):
    context.sums = 0


@given("the {which} call of rank takes {ms:d} ms and then {ends}")
def call_ends(context, which, ms, ends):
    number, before = ("first", "second").index(which), context.disturb

    def disturb(call):
        if call.service != "rank" or rank_calls(context).index(call) != number:
            return before(call)
        if ends == "fails":
            context.clock.sleep(float(ms))
            raise StageError("", Code.STAGE_FAILED)
        context.clock.sleep(max(0.0, ms - BATCH.expected_ms(len(call.pieces))))
        return ends

    context.disturb = disturb


@given("the servers of rank are paused for {ms:d} ms from then on")
def servers_paused(context, ms):
    servers = find_coordinator(context, "rank").dispatch.batcher("rank").servers
    before = context.disturb

    def disturb(call):
        if call in rank_calls(context)[:1]:
            servers.paused |= dict.fromkeys(("rank-1", "rank-2"), context.clock.now() + ms)
        return before(call)

    context.disturb = disturb


@given("the coordinator of rank dies {ms:d} ms after the first call of rank begins")
def coordinator_dies(context, ms):
    dying = find_coordinator(context, "rank")

    def die():
        if context.fleet.instances.pop(dying.settings.name, None) is not None:
            dying.close()

    def disturb(call):
        if call.service == "rank":
            context.clock.call_later(float(ms), die)

    context.disturb = disturb
    context.sender = next(name for name, one in context.fleet.instances.items() if one is not dying)


@given("the servers of scan {restart} {ms:d} ms after it begins")
def scan_servers_restart(context, restart, ms):
    before = context.disturb

    def restart_servers():
        for number, datacentre in ((1, "a"), (2, "b")):
            context.fleet.add_server(f"scan-{number}", "scan", datacentre, born=1)

    def disturb(call):
        if restart == "restart" and call in rank_calls(context)[:1]:
            context.clock.call_later(float(ms), restart_servers)
        return before(call)

    context.disturb = disturb


@when("request r with {scans:d} pieces of scan and {ranks:d} {noun:w} of rank is sent")
def send(context, scans, ranks, noun):
    pieces = (scans, ranks, context.sums)
    sent = request("r", PATHS["lasting"], context.clock.now(), pieces=pieces)
    context.run(serve, context, getattr(context, "sender", "a-1"), sent)
    context.run(context.clock.sleep, SETTLE_MS)


def frees(context):
    return [(at, handle) for at, handle in context.freed if handle.startswith("scan")]


def rank_calls(context):
    return [one for one in context.calls if one.service == "rank"]


@then("the first result of scan is released {when_} the call of rank ends")
def released_when(context, when_):
    answered(context)
    first = min(at for at, _ in frees(context))
    ended = max(one.ended for one in rank_calls(context))
    assert (first < ended) == (when_ == "before"), (first, ended)


@then("not before all pieces of rank have begun")
def after_all_began(context):
    began = max(one.began for one in rank_calls(context))
    assert min(at for at, _ in frees(context)) >= began


@then("no result is released twice")
def none_twice(context):
    counts = Counter(handle for _, handle in context.freed)
    assert counts and set(counts.values()) == {1}, counts


def count(context, label):
    return sum(one.metrics.counts[label] for one in context.fleet.instances.values())


@then("{number:d} stages had their inputs released early")
def early_releases(context, number):
    assert count(context, "early_releases") == number, count(context, "early_releases")


@then("{number:d} early release turned out to be needed")
def early_needed(context, number):
    assert count(context, "early_releases_needed") == number


@then("{number:d} copies of its pieces lacked an input")
def copies_lacked(context, number):
    assert count(context, "copies_without_input") == number, count(context, "copies_without_input")


@then("the stages ran {times}")
def stages_ran(context, times):
    scans = sum(one.service == "scan" for one in context.calls)
    assert scans == ("once", "twice").index(times) + 1, scans


@then("no result is kept as releasable")
def none_kept(context):
    for one in context.fleet.instances.values():
        assert not any(
            len(batcher.surplus.releasable) for batcher in one.dispatch.batchers.values()
        )


@then("it is answered")
def answered(context):
    assert context.ends["r"][0] == 200 and context.ends["r"][2] == 0, context.ends


@then("it is answered and no stage ran twice")
def answered_once(context):
    answered(context)
    services = [one.service for one in context.calls]
    assert sorted(services) == ["rank", "scan", "sum"], services


@then("every result of scan was released")
def all_released(context):
    made = {one for one in context.made if one.startswith("scan")}
    assert made == {handle for _, handle in frees(context)}


def input_release(context, source_mbps=0.0):
    route = replace(ROUTES[-1], stages=(RouteStage("scan", (), 1.5e6), RouteStage("rank", (0,), 8)))
    services = {"scan": Service("scan", 100, batch=replace(BATCH, link_mbps=source_mbps))}
    follower = SimpleNamespace(
        catalogue=Catalogue(1, {"x": (route,)}, services), service=services.get
    )
    inputs = InputRelease(follower, context.clock, MemoryMetrics(), lambda: True)
    inputs.release = lambda handles: context.released.append((context.clock.now(), handles))
    return inputs


@given("a stage of {pieces:d} {noun:w} that may release its inputs")
def stage_with_inputs(context, pieces, noun):
    context.clock, context.released, context.limits = VirtualClock(), [], BATCH
    job = StageJob(
        "r", 1, "rank", pieces, "", ("scan-1/1",), 1e9, 1e9, 0, 8, "", releases_inputs=True
    )
    context.progress = JobProgress(job, lambda results: None, 0.0)
    context.inputs = input_release(context)
    context.run = lambda function, *args: context.clock.run(gevent.spawn(function, *args))


@given("{number:d} inputs of 1.5 MB over links of {source:d} and {own:d} Mbit/s")
def large_inputs(context, number, source, own):
    handles = tuple(f"scan-1/{n}" for n in range(number))
    context.progress.job = replace(context.progress.job, inputs=handles)
    context.inputs = input_release(context, float(source))
    context.limits = replace(BATCH, link_mbps=float(own))


def begin(context, fragment, calls=1):
    run = SimpleNamespace(
        batch=[(context.progress, fragment)],
        limits=context.limits,
        ended=False,
        batcher=SimpleNamespace(service="rank"),
        state=SimpleNamespace(server=SimpleNamespace(name="rank-1")),
        call=StageCallState(context.clock.now(), 160.0, 1),
    )
    context.inputs.call_began(run, calls)
    return run


def pass_ms(context, ms):
    context.clock.run(gevent.spawn(context.clock.sleep, float(ms)))


@when("its call begins at a server that runs 1 call at once and has {calls:d}")
def call_begins(context, calls):
    begin(context, 0, calls)


@when("the stage is withdrawn")
def stage_withdrawn(context):
    context.progress.ended = True


@when("its first piece's call has fetched them and its piece is queued again")
def first_fetched(context):
    run = begin(context, 0)
    pass_ms(context, 1_000)
    run.ended = True
    PieceQueue().requeue((context.progress, 0))


@when("the call of its second piece has fetched them")
def second_fetched(context):
    begin(context, 1)
    pass_ms(context, 1_000)


@when("the second call of its first piece has fetched them")
def first_fetched_again(context):
    begin(context, 0)
    pass_ms(context, 1_000)


@then("its inputs are released")
def inputs_released(context):
    assert [handles for _, handles in context.released] == [["scan-1/1"]], context.released


@then("its inputs are not released")
def inputs_kept(context):
    assert not context.released, context.released


@then("its inputs are released after about {ms:d} ms")
def released_after(context, ms):
    pass_ms(context, 1_000)
    ((at, _),) = context.released
    assert abs(at - ms) < 1.0, at


@when("its inputs were released and missing in call {call:d}")
def inputs_missing(context, call):
    context.progress.inputs_released = True
    context.progress.attempts[0] = call
    context.inputs.input_missing(context.progress, 0)


@when("that call is answered, and made a piece of another stage")
def answered_with_other(context):
    other = JobProgress(context.progress.job, lambda results: None, 0.0)
    run = SimpleNamespace(batch=[(context.progress, 0), (other, 0)])
    results = (PieceResult("", PieceFailure.INPUT_GONE), PieceResult("rank-1/1"))
    context.inputs.call_answered(run, results)


@when("the call of its first piece's second copy has fetched them and then fails")
def second_copy_fails(context):
    begin(context, 0)
    pass_ms(context, 1_000)
    batcher = SimpleNamespace(hedged={(context.progress, 0)})
    failed = PieceResult("", PieceFailure.FAILED)
    BatchRun.repeat(SimpleNamespace(batcher=batcher), context.progress, 0, failed)


@when("the call of the next stage begins")
def next_begins(context):
    context.progress = JobProgress(context.progress.job, lambda results: None, 0.0)
    begin(context, 0)


@given("{number:d} early releases")
def guard_releases(context, number):
    context.guard = ReleaseGuard()
    context.guard.record_releases(number, 0.0)


@when("{number:d} of them turn out to be needed")
def guard_needed(context, number):
    for _ in range(number):
        context.guard.record_needed(0.0)


@when("{number:d} more early releases follow after {ms:d} ms, of which {needed:d} are needed")
def guard_later(context, number, ms, needed):
    context.later = float(ms)
    context.guard.record_releases(number, context.later)
    for _ in range(needed):
        context.guard.record_needed(context.later)


@then("early release is not paused after that")
def guard_not_paused_later(context):
    assert not context.guard.is_paused(context.later), context.guard


@then("early release {is_} paused")
def guard_paused(context, is_):
    assert context.guard.is_paused(0.0) == (is_ == "is")


@then("after {ms:d} ms it is not paused")
def guard_over(context, ms):
    assert not context.guard.is_paused(float(ms))


@given("a fleet with service scan divided among data centres a, b and c")
def divided_fleet(context):
    configure(context, STAGES["rank"])
    servers = [(f"scan-{one}{n}", "scan", one) for one in "abc" for n in range(5)]
    start(context, [f"{one}-{n}" for one in "abc" for n in (1, 2)], servers)
    assert find_coordinator(context, "scan", "a").fleet.division.is_divided("scan")


def run_scan(context, submit, pieces=3):
    """Have pieces of scan run, and keep the handles of their results."""
    now = context.clock.now()
    job = StageJob("r", 0, "scan", pieces, "key", (), now + 9e3, now + 9e3, 0, SCAN_BYTES, "")
    results = []
    context.run(submit, job, results.extend)
    context.run(context.clock.sleep, 400.0)
    context.handles = [one.handle for one in results]
    assert len(context.handles) == pieces and all(context.handles), results


@when("{number:d} pieces of scan run in data centre a")
def scans_run(context, number):
    context.submitter = find_coordinator(context, "scan", "a")
    run_scan(context, context.submitter.dispatch.submit, number)


@when("2 more pieces of scan run there")
def more_scans(context):
    context.first = context.handles
    run_scan(context, context.submitter.dispatch.submit, 2)


@then("the oldest of the first results is released")
def oldest_of_first(context):
    assert context.freed and context.freed[0][1] == context.first[0], context.freed


@when("3 pieces of scan are lent by data centre a")
def scans_lent(context):
    context.submitter = find_coordinator(context, "scan", "a")
    dispatch = context.submitter.dispatch

    def submit(job, done):
        submission = Submission(next(dispatch.numbers), job, done)
        dispatch.submissions[submission.number] = submission
        link = context.submitter.fleet.coordinator_links("scan")["b"]
        dispatch.send_to(submission, link, lent=True)

    run_scan(context, submit)


@when("an instance of data centre c reports their results as fetched")
def reported_fetched(context):
    coordinator = find_coordinator(context, "scan", "c")
    reporter = next(
        one
        for name, one in context.fleet.instances.items()
        if name.startswith("c") and one is not coordinator
    )
    context.run(reporter.dispatch.fetched_releases.send, context.handles)
    context.run(context.clock.sleep, 100.0)


@when("the coordinator of data centre c is told that their results are fetched")
def told_fetched(context):
    coordinator = find_coordinator(context, "scan", "c")
    message = StageRelease("scan", tuple(context.handles), fetched=True)
    context.run(coordinator.dispatch.handle_release, message, None)
    context.run(context.clock.sleep, 100.0)


@when("the coordinator of data centre a is replaced")
def coordinator_replaced(context):
    context.fleet.instances.pop(context.submitter.settings.name).close()
    context.run(context.clock.sleep, SETTLE_MS)


@when("their servers restart")
def servers_restart(context):
    for address in {one.partition("/")[0] for one in context.handles}:
        context.fleet.add_server(address, "scan", "a", born=1)
    context.run(context.clock.sleep, 300.0)


@when("the instance that submitted them releases them too")
def released_too(context):
    context.run(context.submitter.dispatch.release, "scan", context.handles)
    context.run(context.clock.sleep, 200.0)


@then("the oldest of them is released, by the coordinator of data centre {name}")
def oldest_released(context, name):
    assert [handle for _, handle in context.freed] == context.handles[:1], context.freed
    memory = find_coordinator(context, "scan", name).dispatch.batcher("scan").result_memory
    assert sorted(memory.results) == sorted(context.handles[1:]), memory.results


@then("each of them was released once")
def each_once(context):
    assert sorted(handle for _, handle in context.freed) == sorted(context.handles)


@then("no result is released")
def none_released(context):
    assert not context.freed, context.freed


def make_results(context, numbers):
    for number in numbers:
        context.memory.reserve("scan-1", 1.0)
        context.memory.record_result(f"scan-1/{number}", "scan-1", 1.0, 1e9)


@given("a server with memory for 10 results that holds {number:d}")
def holds_results(context, number):
    context.memory, context.releasable = ResultMemory(), ReleasableResults()
    make_results(context, range(1, number + 1))


def take(context):
    taken = context.releasable.take(context.memory, 10.0, 0.0)
    context.taken = [one.removeprefix("scan-1/") for one in taken.get("scan-1", [])]


@when("results 3, 1 and 2 are reported as fetched, in this order")
def fetched_in_order(context):
    for number in (3, 1, 2):
        context.releasable.add(f"scan-1/{number}", context.memory)
    take(context)


@then("results {numbers} are released, in this order")
def released_in_order(context, numbers):
    assert context.taken == numbers.replace(" and ", ", ").split(", "), context.taken


@when("the results are checked again before these two are released")
def checked_again(context):
    take(context)


@then("no further result is released")
def no_further(context):
    assert not context.taken, context.taken


@when("1 more result is made there")
def one_more(context):
    make_results(context, [20])
    take(context)


@then("result 2 is released")
def second_released(context):
    assert context.taken == ["2"], context.taken


@when("a result of scan is made and released twice")
def released_twice(context):
    context.submitter = find_coordinator(context, "scan")
    for _ in range(2):
        if not context.freed:
            run_scan(context, context.submitter.dispatch.submit, 1)
        released_too(context)


@then("one call released it")
def one_call(context):
    assert [one for _, one in context.freed] == context.handles, context.freed


@when("its server restarts, and makes and releases a result with the same handle")
def same_handle(context):
    context.before = context.handles
    number = int(context.handles[0].partition("/")[2])
    context.fleet.upstream.numbers = itertools.count(number)
    run_scan(context, context.submitter.dispatch.submit, 1)
    released_too(context)


@then("another call released it")
def another_call(context):
    assert context.handles == context.before
    assert [one for _, one in context.freed] == context.before * 2, context.freed


@given("calls of 200 ms, results that are kept for 4000 ms, and next steps {steps}")
def next_steps(context, steps):
    routes = [
        [tuple(map(float, step.split("+"))) for step in route.split(" and ") if step != "none"]
        for route in steps.removesuffix(" elsewhere").split(", or ")
    ]
    context.need = need(200.0, routes, 4_000.0)


@then("their results wait {wait:d} ms and take up memory for {hold:d} ms")
def result_need(context, wait, hold):
    assert (context.need.wait_ms, context.need.hold_ms) == (wait, hold), context.need


@then("the next step {is_} too far behind")
def next_behind(context, is_):
    assert context.need.is_behind == (is_ == "is")


def scan_batcher(context):
    return find_coordinator(context, "scan").dispatch.batcher("scan")


@given("new pieces of rank are expected to wait {ms:d} ms")
@when("new pieces of rank are expected to wait {ms:d} ms")
def rank_wait(context, ms):
    scan_batcher(context).reservation.backlogs = SimpleNamespace(
        wait_ms=lambda service, urgency, gives_way: ms if service == "rank" else 0.0
    )


@given("the servers of scan have {used:d} results in their memory for {number:d}")
def scan_memory(context, used, number):
    context.used, context.begun = used * SCAN_BYTES, False


@given("the stages that need rank have begun")
def stages_begun(context):
    context.begun = True


def scan_job(context, stage):
    now, size = context.clock.now(), context.stages[0].result_bytes
    return StageJob("r", stage, "scan", 1, "key", (), now + 9e3, now + 9e3, 0, size, "")


@when("stages that need rank with {held:d} pieces and others with {others:d} pieces wait for scan")
def stages_wait(context, held, others):
    context.begun = getattr(context, "begun", False)
    context.queue = PieceQueue()
    # No route has a stage with the second number, so that nothing is known to follow it.
    for stage in [0] * held + [9] * others:
        since = context.clock.now()
        progress = JobProgress(scan_job(context, stage), lambda results: None, since)
        progress.begun = context.begun and stage == 0
        context.queue.add(progress)


@when("stages that need rank with {held:d} pieces and another one with {others:d} wait for scan")
def other_stage_waits(context, held, others):
    stages_wait(context, held, 0)
    job = replace(scan_job(context, 9), pieces=others)
    context.queue.add(JobProgress(job, lambda results: None, context.clock.now()))


@when("the coordinator of scan sends what waits")
def sends_waiting(context):
    batcher = scan_batcher(context)
    batcher.queue.waiting += context.queue.waiting
    context.run(batcher.pump)
    context.run(context.clock.sleep, 10.0)


@then("the first call takes none of the former")
def first_takes_none(context):
    first = next(one for one in context.calls if one.service == "scan")
    assert {piece.stage for piece in first.pieces} == {9}, first.pieces


@then("the next call takes {held:d} of the former and {others:d} of the latter")
def call_takes(context, held, others):
    batcher, now = scan_batcher(context), context.clock.now()
    state = batcher.servers.usable(now)[0]
    batch = batcher.reservation.choose(context.queue, state, context.used, {"a", "b"}, SCAN, now)
    stages = [progress.job.stage for progress, _ in batch]
    assert (stages.count(0), stages.count(9)) == (held, others), stages


@then("{number:d} stages were held back")
def were_held(context, number):
    assert count(context, "stages_held_back") == number


@when("{number:d} pieces wait at the coordinator of rank")
def many_wait(context, number):
    now = context.clock.now()
    job = StageJob("r", 1, "rank", number, "key", (), now + 9e3, now + 9e3, 0, 8.0, "")
    dispatch = find_coordinator(context, "rank").dispatch
    context.run(dispatch.submit, job, lambda results: None)


@then("the next step of pieces of scan is too far behind at the coordinator of scan")
def scan_behind(context):
    reservation, now = scan_batcher(context).reservation, context.clock.now()
    assert reservation.need(scan_job(context, 0), SCAN, now).is_behind


@given("a usage of 60 of 100 bytes that was reported to lapse after 1000 ms")
def usage_reported(context):
    context.report, context.standby = UsageReport(), "standby"
    assert context.report.changes([ServerUsage("scan-1", 60.0, 1_000.0)], "standby", 100.0, 0.0)
    context.usage, context.at = ServerUsage("scan-1", 60.0, 1_000.0), 0.0


@when("the usage is {used:d} bytes {ms:d} ms later")
def usage_later(context, used, ms):
    context.usage, context.at = ServerUsage("scan-1", used, 1_000.0), float(ms)


@when("another instance is the standby")
def other_standby(context):
    context.standby = "other"


@then("it {is_} reported again")
def reported_again(context, is_):
    sent = context.report.changes([context.usage], context.standby, 100.0, context.at)
    assert bool(sent) == (is_ == "is"), sent


@given("a coordinator with 30 bytes of its own and 40 inherited ones at a server")
def inherited(context):
    context.memory = ResultMemory()
    context.memory.reserve("scan-1", 30.0, until=1_000.0)
    inherit(context)


@when("40 inherited bytes are reported again")
def inherit(context):
    context.memory.inherit(ServerUsage("scan-1", 40.0, 1_000.0), 0.0)


@then("it reports {own:d} bytes, and {all_:d} if it leaves")
def reports_bytes(context, own, all_):
    reported = [context.memory.usages(0.0, everything) for everything in (False, True)]
    assert [one.used_bytes for (one,) in reported] == [own, all_], reported


@when("the server refuses a piece, as {size:d} more bytes are in use")
def server_refuses(context, size):
    context.memory.record_full("scan-1", float(size), 0.0, 4_000.0)


@then("{number:d} bytes are assumed to be in use")
def assumed_bytes(context, number):
    assert context.memory.used_bytes("scan-1", 0.0) == number


@given("results at a server that are needed for {needed:d} ms and expire after {ttl:d} ms")
def needed_results(context, needed, ttl):
    context.memory = ResultMemory()
    context.memory.reserve("scan-1", 30.0, until=float(needed))
    context.memory.record_result("scan-1/1", "scan-1", 30.0, float(ttl))


@then("after {ms:d} ms their usage is reported to lapse after {lapse:d} ms")
def usage_lapses(context, ms, lapse):
    context.memory.drop_expired(float(ms))
    (usage,) = context.memory.usages(float(ms), everything=False)
    assert (usage.used_bytes, usage.lapse_ms) == (30.0, lapse), usage


@when("its result 1 is replaced by a new one with its handle")
def same_handle_again(context):
    make_results(context, [1])


@then("2 results are accounted for, and none once they have expired")
def accounted_results(context):
    assert context.memory.used_bytes("scan-1", 0.0) == 2.0
    context.memory.drop_expired(2e9)
    assert context.memory.used_bytes("scan-1", 0.0) == 0.0


@when("the coordinator of data centre a {ends} after {ms:d} ms")
def coordinator_ends(context, ends, ms):
    context.run(context.clock.sleep, float(ms))
    if ends == "leaves":
        context.run(context.submitter.leave)
        context.run(context.clock.sleep, 100.0)
    else:
        context.fleet.instances.pop(context.submitter.settings.name).close()
        context.run(context.clock.sleep, 500.0)


@then("its successor counts {fewest:d} to {most:d} bytes as in use")
def successor_counts(context, fewest, most):
    staying = [one for one in context.fleet.instances.values() if one is not context.submitter]
    successor = next(
        one
        for one in staying
        if one.settings.datacentre == "a" and one.fleet.coordinator("scan") is None
    )
    memory, now = successor.dispatch.batcher("scan").result_memory, context.clock.now()
    used = sum(memory.used_bytes(f"scan-a{n}", now) for n in range(5))
    assert fewest <= used <= most, used


@then("between {fewest:d} and {most:d} usages were reported")
def usages_reported(context, fewest, most):
    assert fewest <= count(context, "result_usages_sent") <= most, count(
        context, "result_usages_sent"
    )
