# serverbytes_steps.py -- Steps about the bytes of requests at servers
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about the bytes of requests at servers."""

import gevent
from behave import given, then, when
from forwardbasics import (
    PATHS,
    find_coordinator,
    placement_coordinator,
    record_sends,
    request,
    serve,
)
from logrecorder import record_lines

from mountladder.forwarding.placementorder import PlacementOrder
from mountladder.forwarding.prompt import Prompt
from mountladder.forwarding.ranking import prompts_topic
from mountladder.memory.serverbytes import ServerBytes

MB = 1_000_000
START_MS = 100_000.0


def megabytes(text):
    return None if text == "none" else round(float(text.split()[0]) * MB)


@given("a server that held {safe:d} MB for {ms:d} ms")
def server_held(context, safe, ms):
    context.bytes = ServerBytes()
    context.bytes.begin("llm", "s-1", safe * MB, START_MS - ms)
    context.bytes.end("s-1", 0, START_MS)


@when("another server crashes while it holds {held:d} MB")
def other_crashes(context, held):
    context.bytes.begin("llm", "s-2", held * MB, START_MS)
    context.bytes.crashed("s-2", START_MS + 100.0)


@when(
    "another server holds {held:d} MB and its requests end {ms:d} ms before its crash is reported"
)
def ends_before(context, held, ms):
    context.bytes.begin("llm", "s-2", held * MB, START_MS)
    context.bytes.end("s-2", held * MB, START_MS + 5_000.0)
    context.bytes.crashed("s-2", START_MS + 5_000.0 + ms)


@when("its requests are released {ms:d} ms later")
def released_later(context, ms):
    context.bytes.end("s-2", 20 * MB, START_MS + ms)


@when("it holds {held:d} MB {ms:d} ms later")
def holds_later(context, held, ms):
    context.bytes.begin("llm", "s-2", held * MB, START_MS + ms)


@then("the most that is safe is {safe:d} MB")
def most_safe(context, safe):
    assert context.bytes.safe["llm"] == safe * MB, context.bytes.safe


@when("its crash is reported again")
def reported_again(context):
    context.bytes.crashed("s-2", START_MS + 5_600.0)


@then("the limit is {limit}")
def limit_is(context, limit):
    assert context.bytes.limits.get("llm") == megabytes(limit), context.bytes.limits


@given("a limit of {limit:d} MB and a server that holds {held:d} MB")
def given_limit(context, limit, held):
    context.bytes = ServerBytes()
    context.bytes.limits["llm"] = limit * MB
    context.bytes.begin("llm", "s-1", held * MB, START_MS)


@given("the limit on memory is switched off")
def switched_off(context):
    context.bytes.is_enabled = lambda: False


@then("it is {outcome} a request of {size:d} MB")
def is_sent(context, outcome, size):
    full = context.bytes.full("llm", ["s-1"], size * MB)
    assert (not full) == (outcome == "sent"), full


@given("this server holds {held:d} MB and is known to hold {limit:d} MB")
def only_server_holds(context, held, limit):
    context.coordinator.bytes.limits["llm"] = limit * MB
    context.coordinator.bytes.begin("llm", "llm-0", held * MB, 0.0)


@when("a prompt of {size:d} MB is placed that {may} be sent there")
def large_prompt(context, size, may):
    excluded = ("llm-0",) if may == "may not" else ()
    order = PlacementOrder(1, "llm", Prompt(10, 10, ()), excluded, "", size=size * MB)
    context.reply = context.coordinator.place(order, "me")


@then("the reply {says} that servers are full")
def reply_says(context, says):
    assert not context.reply.server
    assert context.reply.is_full == (says == "says"), context.reply


def coordinator_bytes(context):
    return placement_coordinator(find_coordinator(context, prompts_topic("llm"))).bytes


@given("the servers of llm are known to hold {limit:d} MB")
def known_limit(context, limit):
    coordinator_bytes(context).limits["llm"] = limit * MB
    record_sends(context)


@when("{number:d} streams with a body of {size:d} MB are sent at once")
def send_streams(context, number, size):
    def send_all():
        names = list(context.fleet.instances)
        now = context.clock.now()
        body = b"x" * (size * MB)
        gevent.joinall(
            [
                gevent.spawn(
                    serve,
                    context,
                    names[n % len(names)],
                    request(f"s{n}", PATHS["stream"], now, body=body),
                )
                for n in range(number)
            ]
        )

    context.run(send_all)


@then("all are answered")
def all_answered(context):
    assert all(one[0] == 200 and not one[2] for one in context.ends.values()), context.ends


@then("no server held two of them at a time")
def one_at_a_time(context):
    spans = sorted(
        (server, at, context.ended_at[name])
        for at, server, _, name in context.sent
        if name in context.ended_at
    )
    assert spans
    for first, second in zip(spans, spans[1:], strict=False):
        assert first[0] != second[0] or first[2] <= second[1], spans


@then("those that are not answered are refused with code {code:d} and were sent to no server")
def others_refused(context, code):
    refused = {name: one for name, one in context.ends.items() if one[0] != 200}
    assert refused and len(refused) < len(context.ends)
    assert {one[2] for one in refused.values()} == {code}, refused
    assert all(one[4].retry_after_ms > 0 for one in refused.values())
    assert not refused.keys() & {name for _, _, _, name in context.sent}


@when("a stream with a body of {size:d} MB crashes its server")
def stream_crashes(context, size):
    record_lines(context)
    body = b"x" * (size * MB)
    context.fleet.upstream.crash_after_ms[body] = 20.0

    def send():
        sent = request("s1", PATHS["stream"], context.clock.now(), body=body)
        serve(context, "a-1", sent)
        context.clock.sleep(500.0)

    context.run(send)


@then("a limit is learnt with a log line that gives {held:d} MB and the limit of {limit:g} MB")
def is_learnt(context, held, limit):
    (line,) = [one for one in context.lines if one.get("message_type") == "server-bytes-limited"]
    assert (line["held"], line["limit"]) == (held * MB, limit * MB), line
    assert coordinator_bytes(context).limits == {"llm": limit * MB}
