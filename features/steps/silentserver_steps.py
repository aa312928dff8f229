# silentserver_steps.py -- Steps about requests whose server is silent for a moment
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about requests whose server is silent for a moment."""

from dataclasses import replace

import gevent
from behave import given, then, when
from forward_steps import SETTLE_MS, events
from forwardbasics import PATHS, PROMPT_KINDS, catalogue, request, save_retries, serve
from logrecorder import record_lines

from mountladder.forwarding.serverrecord import SERVICE_LABEL
from mountladder_entry.callergone import CallerGoneError
from mountladder_standins.serverfault import ServerFault

# Longer than the silences, so that a server can go on.
ROUTE_TIMEOUT_MS = 6_000.0
SERVERS = {"llm": ("llm-1", "llm-2"), "desk": ("desk-1", "desk-2"), "enc": ("enc-1", "enc-2")}
LONGER_MS = 1_000.0


@given("two instances and the servers of each kind of request")
def fleet_with_servers(context):
    fleet = context.fleet
    plain = catalogue(1)
    routes = {
        host: tuple(replace(one, timeout_ms=ROUTE_TIMEOUT_MS) for one in all_)
        for host, all_ in plain.routes.items()
    }
    fleet.configure(replace(plain, routes=routes))
    for name in ("a-1", "b-1"):
        fleet.start(name)
    for service, names in SERVERS.items():
        for name in names:
            fleet.add_server(name, service, "a")
    context.run(context.clock.sleep, SETTLE_MS)
    save_retries(context)
    record_lines(context)
    context.plans = []
    context.sent_calls = []
    upstream = context.fleet.upstream
    plain_open = upstream.open

    def open_(server, call, limit_ms):
        """Record a call, and carry out the plans once the first one has arrived."""
        context.sent_calls.append(server.name)
        if len(context.sent_calls) == 1:
            for plan in context.plans:
                plan(server.name)
        return plain_open(server, call, limit_ms)

    upstream.open = open_


def others(context, first):
    """Return the other servers of a server's service."""
    directory = context.fleet.instances["a-1"].directory
    service = directory.find(first).labels[SERVICE_LABEL]
    return [one for one in SERVERS[service] if one != first]


def be_silent(context, name, from_ms, ms):
    silent = context.fleet.upstream.silent
    context.clock.call_later(from_ms, lambda: silent.add(name))
    context.clock.call_later(from_ms + ms, lambda: silent.discard(name))


@given("the first server of the {kind} request is silent for {ms:d} ms from {start:d} ms on")
def first_is_silent(context, kind, ms, start):
    # Stages take as long as on an idle fleet, so that the times count from the arrival at the model
    # server without them.
    context.silence = (float(start if kind != "lasting" else start - 400), float(ms))
    context.plans.append(lambda first: be_silent(context, first, *context.silence))


@given("it cannot be reached meanwhile")
def cannot_be_reached(context):
    start, ms = context.silence
    unreachable = context.fleet.upstream.unreachable

    def plan(first):
        context.clock.call_later(start, lambda: unreachable.add(first))
        context.clock.call_later(start + ms, lambda: unreachable.discard(first))

    context.plans.append(plan)


@given("nothing else happens")
def nothing_else(context):
    assert len(context.plans) == 1


@given("every other server {state}")
def others_are(context, state):
    faults = {
        "is full": ServerFault.FULL,
        "cannot be reached": ServerFault.UNREACHABLE,
        "breaks connections": ServerFault.RESET,
        "answers with an error": ServerFault.ERROR,
    }

    def plan(first):
        for name in others(context, first):
            if state in faults:
                context.fleet.upstream.faults[name] = faults[state]
            elif state == "is draining":
                context.fleet.add_server(name, "llm", "a", draining=True)
            elif state == "runs another version":
                context.fleet.add_server(name, "llm", "a", version="v2")
            else:
                assert state == "is silent for longer", state
                be_silent(context, name, 0.0, sum(context.silence) + LONGER_MS)

    context.plans.append(plan)


def change_routes(context, **fields):
    fleet = context.fleet
    plain = fleet.catalogues[max(fleet.catalogues)]
    routes = {
        host: tuple(replace(one, **fields) for one in all_) for host, all_ in plain.routes.items()
    }
    fleet.configure(replace(plain, version=plain.version + 1, routes=routes))
    context.run(context.clock.sleep, SETTLE_MS)


@given("the request may reach one server only")
def one_attempt(context):
    change_routes(context, max_attempts=1)


@given("streams have a latency target of {ms:d} ms")
def latency_target(context, ms):
    change_routes(context, target_ms=float(ms))


def send(context, kind, name):
    sent = request("r", PATHS[kind], context.clock.now(), allowed_ms=ROUTE_TIMEOUT_MS)
    serve(context, name, sent)


@when("instance {name} gets a {kind} request r")
def get_request(context, name, kind):
    context.kind = kind
    context.run(send, context, kind, name)


@when("the caller of the {kind} request r to {name} leaves after {ms:d} ms")
def caller_of_request_leaves(context, kind, name, ms):
    def leave():
        task = gevent.spawn(send, context, kind, name)
        context.clock.sleep(float(ms))
        task.kill(CallerGoneError())
        context.clock.sleep(SETTLE_MS)

    context.run(leave)


def is_whole(context):
    status, body, code, _, _ = context.ends["r"]
    body_is_whole = body == events(1, 6) if context.kind in PROMPT_KINDS else bool(body)
    return (status, code) == (200, 0) and body_is_whole


@then("request r is answered whole by the first server")
def answered_by_first(context):
    assert is_whole(context), (context.ends["r"], context.sent_calls)
    first = context.sent_calls[0]
    if context.kind in PROMPT_KINDS:
        ended = [one for one in context.lines if one.get("message_type") == "stream-cut"]
        assert not ended, ended
    else:
        assert context.ends["r"][1] == first.encode(), context.ends["r"]


@then("request r is answered whole by two servers within {ms:d} ms")
def answered_by_two(context, ms):
    assert is_whole(context), (context.ends["r"], context.sent_calls)
    assert len(set(context.sent_calls)) == len(context.sent_calls) == 2, context.sent_calls
    took_ms = context.ended_at["r"] - context.arrived["r"]
    assert took_ms <= ms, took_ms


@then("two servers were sent request r")
def sent_to_two(context):
    assert len(set(context.sent_calls)) == len(context.sent_calls) == 2, context.sent_calls


@then("no server works on request r any more")
def nothing_left(context):
    upstream = context.fleet.upstream
    assert all(one.closed or not one.parts for one in upstream.answers), upstream.answers
    for instance in context.fleet.instances.values():
        states = instance.router.states.values()
        running = {one.server.name: one.running for one in states if one.running}
        assert not running, running


@then("request r ends between {least:d} and {most:d} ms after it was sent, with code {code:d}")
def ends_between(context, least, most, code):
    _, _, found, _, _ = context.ends["r"]
    took_ms = context.ended_at["r"] - context.arrived["r"]
    assert found == code and least <= took_ms <= most, (context.ends["r"], took_ms)


@given("the stage servers are silent for {ms:d} ms from {start:d} ms on")
def stages_are_silent(context, ms, start):
    context.silence = (float(start), float(ms))
    for name in SERVERS["enc"]:
        be_silent(context, name, *context.silence)


@given("the first stage server is silent for {ms:d} ms from {start:d} ms on")
def first_stage_is_silent(context, ms, start):
    upstream = context.fleet.upstream
    plain = upstream.run_pieces

    def run_pieces(server, pieces, limit_ms, on_notices):
        if not upstream.piece_calls:
            be_silent(context, server.name, float(start), float(ms))
        return plain(server, pieces, limit_ms, on_notices)

    upstream.run_pieces = run_pieces


@given("no connection can be opened to them, either")
def stages_not_reached(context):
    start, ms = context.silence
    unreachable = context.fleet.upstream.unreachable
    context.clock.call_later(start, lambda: unreachable.update(SERVERS["enc"]))
    context.clock.call_later(start + ms, lambda: unreachable.difference_update(SERVERS["enc"]))


@given("no piece may be sent again")
def no_piece_again(context):
    for instance in context.fleet.instances.values():
        settings = replace(instance.settings, retry_ratio=0.0, retry_reserve=0.0)
        instance.apply_settings(settings)


@given("nothing stands in the way")
def nothing_in_the_way(context):
    assert not context.plans


@then("no call with pieces runs any more")
def no_call_runs(context):
    for instance in context.fleet.instances.values():
        for batcher in instance.dispatch.batchers.values():
            running = {name: calls for name, calls in batcher.servers.calls.items() if calls}
            assert not running, running


@then("request r took at most {ms:d} ms")
def took_at_most(context, ms):
    took_ms = context.ended_at["r"] - context.arrived["r"]
    assert took_ms <= ms, took_ms
