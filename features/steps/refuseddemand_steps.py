# refuseddemand_steps.py -- Steps about the demand that coordinators are told of
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about the demand that coordinators are told of."""

from collections import Counter
from dataclasses import replace

from behave import given, then, when
from forwardbasics import find_coordinator
from logrecorder import record_lines
from retrybasics import ALLOWED_MS, job, lines_of, send, start

from mountladder.admission.refuseddemand import RefusedDemand
from mountladder.code import Code
from mountladder.forwarding.backlog import priority_class
from mountladder.forwarding.jobprogress import JobProgress
from mountladder.metrics.memorymetrics import MemoryMetrics
from mountladder.metrics.metric import Metric
from mountladder.sharing.servicesharing import ServiceSharing

# Two servers with 8 pieces in 230 ms take 2.9 s for these.
BACKLOG_PIECES = 200


@when("{number:d} pieces of rank 0 are refused")
def pieces_refused(context, number):
    context.demand.record_refused((number,))


@when("{pieces:d} pieces of rank 1 give way")
def pieces_give_way(context, pieces):
    late = replace(job(pieces, 1), due=-1.0)
    context.queue.add(JobProgress(late, lambda results: None, 0.0))


@then("those of rank 1 that give way are expected to wait for {ms:d} ms")
def give_way_wait(context, ms):
    waiting = context.queue.count_by_priority(0.0)
    waits = context.demand.waits_ms(waiting, context.rate, 0.0)
    assert round(waits[priority_class(1, True)]) == ms, waits


@given("a service with floors")
def with_floors(context):
    context.sharing = ServiceSharing("enc", MemoryMetrics())


@when("{arrived:d} pieces of rank 0 arrive, and {refused:d} of rank 2 are refused")
def arrive_and_refused(context, arrived, refused):
    context.sharing.record_arrival(job(arrived, 0), 0.0)
    context.sharing.record_refused((0, 0, refused), 0.0)


@then("ranks 0 and 2 have floors of {first:g} and {last:g}")
def have_floors(context, first, last):
    floors = context.sharing.floors(Counter(), 0.0)
    assert (floors.fraction(0), floors.fraction(2)) == (first, last), floors


@given("a fleet with a stage service whose queue is {state}")
def fleet_with_queue(context, state):
    servers = {"enc-a1": "enc", "enc-b1": "enc", "llm-a1": "llm", "llm-b1": "llm"}
    start(context, ("a-1", "a-2", "b-1"), servers)
    record_lines(context)
    coordinator = context.coordinator = find_coordinator(context, "enc")
    context.other = next(one for one in context.fleet.instances.values() if one is not coordinator)
    context.messages = []
    send_later = context.other.fleet.send_later

    def spy(link, message):
        if isinstance(message, RefusedDemand):
            context.messages.append((link.peer.name, message))
        send_later(link, message)

    context.other.fleet.send_later = spy
    if state != "empty":
        # They are of the rank of the requests, and are not counted as arrived.
        now = context.clock.now()
        batcher = coordinator.dispatch.batcher("enc")
        due = now + 1e5 if state == "full" else now - 1.0
        # Stages of one piece each, since those that have results go before all others.
        for _ in range(BACKLOG_PIECES):
            waiting = replace(job(1, 1, now), due=due)
            batcher.queue.add(JobProgress(waiting, lambda results: None, now))
        context.run(batcher.pump)
        context.run(context.clock.sleep, 600.0)


@given("schedule_retries is off at {where}")
def switched_off(context, where):
    off = {
        "no instance": [],
        "the coordinator": [context.coordinator],
        "the others": [
            one for one in context.fleet.instances.values() if one is not context.coordinator
        ],
    }
    for one in off[where]:
        one.settings = replace(one.settings, schedule_retries=False)


@when("{number:d} requests are refused at {instance}, one every {ms:d} ms")
def requests_refused(context, number, instance, ms):
    context.instance = context.coordinator if instance == "the coordinator" else context.other

    def play():
        for one in range(number):
            end = send(context, context.instance, f"r{one}")
            assert end[2] == Code.DEADLINE_UNMEETABLE.number, end
            context.clock.sleep(float(ms))
        context.clock.sleep(300.0)

    context.run(play)


@when("it is refused again after {ms:d} ms")
def refused_once_more(context, ms):
    context.run(context.clock.sleep, ms - (context.clock.now() - context.arrived["r0"]))
    context.run(send, context, context.instance, "again", ALLOWED_MS - ms)
    end = context.ends["again"]
    assert end[2] == Code.DEADLINE_UNMEETABLE.number, end
    context.run(context.clock.sleep, 300.0)


@when("{number:d} requests are admitted at another")
def requests_admitted(context, number):
    for one in range(number):
        context.run(send, context, context.other, f"r{one}")
        assert context.ends[f"r{one}"][0] == 200, context.ends


@then("the coordinator counts {pieces:d} pieces of them as asked for")
def counted(context, pieces):
    batcher = context.coordinator.dispatch.batcher("enc")
    assert context.coordinator.metrics.counts[Metric.REFUSED_PIECES.label] == pieces
    if pieces:
        assert batcher.demand.refused.amounts[1] == pieces, batcher.demand.refused.amounts
        asked = batcher.sharing.demand.amounts(context.clock.now())[1]
        assert 0.6 * pieces < asked <= pieces, asked


@then("it was sent {number:d} messages about them")
def was_sent(context, number):
    names = [name for name, _ in context.messages]
    assert names == [context.coordinator.settings.name] * number, context.messages


@then("one retry is counted as refused again there")
def counted_again(context):
    counts = context.instance.metrics.counts
    assert counts[Metric.RETURNS_REFUSED.label] == 1, counts
    assert counts[Metric.RETURNS_EARLY.label] == 0, counts


@then(
    "the coordinator has written {lines:d} line about refused demand and counted {pieces:d} pieces"
)
def line_written(context, lines, pieces):
    found = lines_of(context, "refused-demand-counted")
    assert len(found) == lines, found
    assert all(one["service"] == "enc" and one["pieces"][1] > 0 for one in found), found
    assert context.coordinator.metrics.counts[Metric.REFUSED_PIECES.label] == pieces


@when(
    "the coordinator is sent refused demand for service gone, and of {ranks:d} ranks for service"
    " enc"
)
def unknown_demand(context, ranks):
    fleet = context.coordinator.fleet
    for message in (RefusedDemand("gone", (3,)), RefusedDemand("enc", (1,) * ranks)):
        context.run(fleet.dispatch, message, next(iter(fleet.links.values())))


@then("the coordinator counts the pieces of {ranks:d} ranks only")
def known_ranks(context, ranks):
    counts = context.coordinator.metrics.counts
    assert counts[Metric.REFUSED_PIECES.label] == ranks, counts


@then("it has no queue for service gone")
def no_queue(context):
    assert "gone" not in context.coordinator.dispatch.batchers
