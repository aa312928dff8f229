# quarantine_steps.py -- Steps about requests that end the servers which run them
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about requests that end the servers which run them."""

import itertools

import gevent
from behave import given, then, when
from forwardbasics import PATHS, request, serve

SETTLE_MS = 700.0
# As seen: a server ends some 60 ms after it began, and its entry lapses 3.6 s later.
DEADLY_MS = 60.0
LAPSE_MS = 3_600.0
BODY = b"deadly"


@given(
    "model servers llm-1 to llm-{number:d}, which start again under new ids {ms:d} ms after they "
    "ended"
)
def model_servers(context, number, ms):
    upstream, clock = context.fleet.upstream, context.clock
    upstream.deadly[BODY] = DEADLY_MS
    starts = itertools.count(number + 1)

    def start_again(server):
        name, datacentre = f"llm-{next(starts)}", server.datacentre
        clock.call_later(ms, lambda: context.fleet.add_server(name, "llm", datacentre))
        clock.call_later(LAPSE_MS, lambda: context.fleet.servers.put(server.name, None))

    upstream.on_ended = start_again
    for n in range(1, number + 1):
        context.fleet.add_server(f"llm-{n}", "llm", "ab"[n % 2])
    context.run(clock.sleep, SETTLE_MS)
    context.took = {}


def attempt(context, name, id_, kind="stream", body=BODY):
    """Send one attempt, and note how long it took."""
    sent_at = context.clock.now()
    serve(context, name, request(id_, PATHS[kind], sent_at, body=body))
    context.took[id_] = context.clock.now() - sent_at


@when(
    "a deadly {kind} request comes {times:d} times every {ms:d} ms, each time at the next instance"
)
def comes_again(context, kind, times, ms):
    def send_all():
        names = itertools.cycle(context.fleet.instances)
        tasks = []
        for n in range(times):
            tasks.append(gevent.spawn(attempt, context, next(names), f"d{n}", kind))
            context.clock.sleep(float(ms))
        gevent.joinall(tasks)

    context.run(send_all)
    context.attempts = [f"d{n}" for n in range(times)]


@then("at most {number:d} servers have ended")
def ended_at_most(context, number):
    ended = context.fleet.upstream.ended
    assert len(ended) <= number, (len(ended), ended)


@then("the last {number:d} attempts are refused with code {code:d} as {class_} within {ms:d} ms")
def refused_at_once(context, number, code, class_, ms):
    for id_ in context.attempts[-number:]:
        assert context.ends[id_][2:4] == (code, class_), (id_, context.ends[id_])
        assert context.took[id_] <= ms, (id_, context.took[id_])
        assert id_ not in context.fleet.upstream.arrivals
