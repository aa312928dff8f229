# silentserver_steps.py -- Steps about requests whose server is silent for a moment
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about requests whose server is silent for a moment."""

from dataclasses import replace

import gevent
from behave import given, then, when
from forward_steps import SETTLE_MS, budget_spent, events
from forwardbasics import PATHS, PROMPT_KINDS, request, serve, start_two_instances
from gevent.event import Event
from logrecorder import record_lines

from mountladder.forwarding.serverrecord import SERVICE_LABEL
from mountladder.memory.memoryaccount import MemoryAccount
from mountladder.metrics.memorymetrics import MemoryMetrics
from mountladder_entry.callergone import CallerGoneError
from mountladder_standins.serverfault import ServerFault
from mountladder_standins.serverpartition import ServerPartition

# Longer than the silences, so that a server can go on.
ROUTE_TIMEOUT_MS = 6_000.0
SERVERS = {"llm": ("llm-1", "llm-2"), "desk": ("desk-1", "desk-2"), "enc": ("enc-1", "enc-2")}
LONGER_MS = 1_000.0


@given("two instances and the servers of each kind of request")
def fleet_with_servers(context):
    start_two_instances(context, SERVERS, ROUTE_TIMEOUT_MS, SETTLE_MS)
    record_lines(context)
    context.plans = []
    context.sent_calls = []
    context.made, context.released = [], {}
    upstream = context.fleet.upstream
    plain_open, plain_free, plain_pieces = upstream.open, upstream.free, upstream.run_pieces

    def free(server, handles, on_notices):
        """Record when results are released."""
        context.released.update(dict.fromkeys(handles, context.clock.now()))
        plain_free(server, handles, on_notices)

    def run_pieces(*args):
        """Record which results are made."""
        results = plain_pieces(*args)
        context.made += [one.handle for one in results]
        return results

    upstream.free, upstream.run_pieces = free, run_pieces

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
    names = [one.name for one in directory.available(service)]
    return [one for one in names if one != first]


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
        service = first.partition("-")[0]
        for name in others(context, first):
            if state in faults:
                context.fleet.upstream.faults[name] = faults[state]
            elif state == "is draining":
                context.fleet.add_server(name, service, "a", draining=True)
            elif state == "runs another version":
                context.fleet.add_server(name, service, "a", version="v2")
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
    allow_attempts(context, 1)


def allow_attempts(context, number):
    """Set the number of servers that may run a request."""
    change_routes(context, max_attempts=number)


@given("streams have a latency target of {ms:d} ms")
def latency_target(context, ms):
    change_routes(context, target_ms=float(ms))


def send(context, kind, name, holder=None):
    now = context.clock.now()
    sent = request("r", PATHS[kind], now, allowed_ms=ROUTE_TIMEOUT_MS, holder=holder)
    serve(context, name, sent)


@when("instance {name} gets a {kind} request r")
def get_request(context, name, kind):
    context.kind = kind
    context.run(send, context, kind, name)


@when("instance {name} gets a {kind} request r whose bytes are counted")
def get_counted_request(context, name, kind):
    context.kind = kind
    context.account = MemoryAccount(context.clock, MemoryMetrics())
    context.holder = context.account.open("caller", lambda reason: None)
    context.kinds_held = []
    upstream = context.fleet.upstream
    recorded_open = upstream.open

    def open_(server, call, limit_ms):
        """Record the kinds of holders while a call is made."""
        context.kinds_held.append((call.request.holder.kind, len(context.account.holders)))
        return recorded_open(server, call, limit_ms)

    upstream.open = open_
    context.run(send, context, kind, name, context.holder)


@then("a second holder of server bytes existed while the second server was asked")
def second_holder(context):
    assert context.kinds_held == [("caller", 1), ("server", 2)], context.kinds_held


@then("the bytes of the whole answer are counted for the caller alone")
def counted_once(context):
    assert is_whole(context), context.ends["r"]
    body = context.ends["r"][1]
    assert list(context.account.holders) == [context.holder], context.account.holders
    assert context.holder.answer_bytes == len(body) > 0, context.holder.answer_bytes


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
    assert context.sent_calls.count(first) == 1, context.sent_calls
    if context.kind in PROMPT_KINDS:
        ended = [one for one in context.lines if one.get("message_type") == "stream-cut"]
        assert not ended, ended
    else:
        assert context.ends["r"][1] == first.encode(), context.ends["r"]


@then("it was logged and counted at {name} why the attempt was kept")
def kept_logged(context, name):
    if context.kind not in {"safe", "resumable", "lasting"}:
        return
    kept = [one for one in context.lines if one.get("message_type") == "attempt-kept"]
    counts = context.fleet.instances[name].metrics.counts
    assert counts["attempts_kept"] == len(kept), counts
    assert all(one["reason"] and one["silent_ms"] > 0 for one in kept), kept
    # A second server that stays silent longer is cancelled once the first one goes on.
    assert kept or counts["hedged"], counts


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


@given("it breaks the connection then")
def breaks_connection(context):
    faults = context.fleet.upstream.faults
    context.plans.append(lambda first: faults.__setitem__(first, ServerFault.RESET))


@given("it is silent again for {ms:d} ms, {pause:d} ms later")
def silent_again(context, ms, pause):
    start = sum(context.silence) + pause
    context.plans.append(lambda first: be_silent(context, first, start, float(ms)))


@given("a third server of each service")
def third_servers(context):
    for service in SERVERS:
        context.fleet.add_server(f"{service}-3", service, "a")
    context.run(context.clock.sleep, SETTLE_MS)


@given("each request may reach three servers")
def three_attempts(context):
    allow_attempts(context, 3)


@given("the first two servers of the {kind} request are silent for {ms:d} ms from {start:d} ms on")
def first_two_are_silent(context, kind, ms, start):
    plain_open = context.fleet.upstream.open
    silent = []

    def open_(server, call, limit_ms):
        """Record a call; the first two servers that are sent the request fall silent."""
        if len(silent) < 2 and server.name not in silent:
            silent.append(server.name)
            be_silent(context, server.name, float(start), float(ms))
        return plain_open(server, call, limit_ms)

    context.fleet.upstream.open = open_


@then("request r is answered whole within {ms:d} ms")
def answered_within(context, ms):
    assert is_whole(context), (context.ends["r"], context.sent_calls)
    took_ms = context.ended_at["r"] - context.arrived["r"]
    assert took_ms <= ms, took_ms


@then("{number:d} retries were taken out of the budget")
def retries_taken(context, number):
    decided = [one for one in context.lines if one.get("message_type") == "retry-budget"]
    assert sum(one["outcome"] == "allowed" for one in decided) == number, decided


@then("the results of its stages were released {ms:d} ms before the stream ended")
def released_before_end(context, ms):
    latest = context.ended_at["r"] - ms
    released = context.released
    assert context.made, "no stage ran"
    assert all(released.get(one, latest) < latest for one in context.made), (released, latest)


@given("both servers of the request answer together after {ms:d} ms")
def both_answer_together(context, ms):
    plain_open = context.fleet.upstream.open
    moment = Event()
    context.plans.append(lambda first: context.clock.call_later(float(ms), moment.set))

    def open_(server, call, limit_ms):
        """Hold an answer back until the moment."""
        answer = plain_open(server, call, limit_ms)
        moment.wait()
        return answer

    context.fleet.upstream.open = open_


@given("checking the version of the first server takes {first:d} ms, and of others {second:d} ms")
def check_takes(context, first, second):
    starts = context.fleet.instances["a-1"].forwarder.context.starts

    def is_as_listed(server):
        is_first = server.name == context.sent_calls[0]
        context.clock.sleep(float(first if is_first else second))
        return True

    starts.is_as_listed = is_as_listed


@given("the first server of the safe request sends its answer in parts for {ms:d} ms")
def answers_in_parts(context, ms):
    plain_open = context.fleet.upstream.open

    def open_(server, call, limit_ms):
        """Send the first answer byte by byte."""
        answer = plain_open(server, call, limit_ms)
        if len(context.sent_calls) == 1:
            (body,) = answer.parts
            answer.parts = [bytes([one]) for one in body]
            answer.pause_ms = ms / len(body)
        return answer

    context.fleet.upstream.open = open_


@then("one server was sent request r")
def sent_to_one(context):
    assert len(context.sent_calls) == 1, context.sent_calls


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


@then("a retry was taken out of the budget for each further call")
def retry_for_each(context):
    further = len(context.sent_calls) - 1
    assert further, context.sent_calls
    retries_taken(context, further)


@when("a caller of {name} reads the {kind} request r with pauses of {ms:d} ms")
def reads_slowly(context, name, kind, ms):
    context.kind = kind

    def read():
        sent = request("r", PATHS[kind], context.clock.now(), allowed_ms=2 * ROUTE_TIMEOUT_MS)
        answer = context.fleet.send(name, sent)
        body = b""
        for part in answer.body:
            body += part
            context.clock.sleep(float(ms))
        context.ends["r"] = (answer.status, body, 0, "", None)

    context.run(read)


@given("the servers send their events in halves")
def events_in_halves(context):
    plain_open = context.fleet.upstream.open

    def open_(server, call, limit_ms):
        """Send the bytes from the middle of one event to that of the next."""
        answer = plain_open(server, call, limit_ms)
        whole, half = b"".join(answer.parts), len(answer.parts[0]) // 2
        size = 2 * half
        starts = range(half, len(whole), size)
        answer.parts = [whole[:half], *(whole[start : start + size] for start in starts)]
        return answer

    context.fleet.upstream.open = open_


@given("it answers with an error then")
def answers_with_error(context):
    faults = context.fleet.upstream.faults
    context.plans.append(lambda first: faults.__setitem__(first, ServerFault.ERROR))


@given("servers of another version than the first one's")
def two_versions(context):
    versions = {"llm-1": "v1", "llm-2": "v2", "llm-3": "v1", "llm-4": "v2"}
    for name, version in versions.items():
        context.fleet.add_server(name, "llm", "a", version=version)
    context.versions = versions

    def plan(first):
        """Have no other server of the first one's version left."""
        for name, version in versions.items():
            if version == versions[first] and name != first:
                context.fleet.add_server(name, "llm", "a", draining=True, version=version)

    context.plans.append(plan)
    context.run(context.clock.sleep, SETTLE_MS)


@given("the second server breaks the connection after its second event")
def second_breaks(context):
    plain_open = context.fleet.upstream.open

    def open_(server, call, limit_ms):
        """Cut the second answer off, with servers of both versions there."""
        answer = plain_open(server, call, limit_ms)
        if len(context.sent_calls) == 2:
            answer.parts, answer.cut = answer.parts[:2], True
            for name, version in context.versions.items():
                context.fleet.add_server(name, "llm", "a", version=version)
        return answer

    context.fleet.upstream.open = open_


@then("the second and third server run the same version")
def same_version(context):
    assert len(context.sent_calls) == 3, context.sent_calls
    first, second, third = (context.versions[one] for one in context.sent_calls)
    assert first != second == third, context.sent_calls


@given("it takes {ms:d} ms to find out whether a server refuses connections")
def slow_probes(context, ms):
    upstream = context.fleet.upstream
    plain_refuses = upstream.refuses

    def refuses(server, limit_ms):
        context.clock.sleep(float(ms))
        return plain_refuses(server, limit_ms)

    upstream.refuses = refuses


@given("instance {name} loses all servers {ms:d} ms after a request is sent")
def loses_servers(context, name, ms):
    isolation = context.fleet.instances[name].forwarder.context.relay.isolation
    context.known_at = []

    def lose():
        context.lost_at = context.clock.now()
        context.fleet.partitions = {name: ServerPartition.HANG}
        isolation.listeners.append(lambda: context.known_at.append(context.clock.now()))

    context.plans.append(lambda first: context.clock.call_later(float(ms), lose))


@then("instance {name} knew within {ms:d} ms that it reaches no server")
def knew_within(context, name, ms):
    assert context.known_at, "it never knew"
    assert context.known_at[0] - context.lost_at <= ms, (context.known_at, context.lost_at)


@given("the model server that the {kind} request reaches first rejects it")
def first_rejects(context, kind):
    faults = context.fleet.upstream.faults

    def plan(first):
        faults[first] = ServerFault.FULL

    context.plans.append(plan)


@given("the retry budget is spent until {ms:d} ms after that")
def spent_until(context, ms):
    instance = context.fleet.instances["a-1"]
    usual = instance.settings
    budget_spent(context)
    context.plans.append(
        lambda first: context.clock.call_later(float(ms), lambda: instance.apply_settings(usual))
    )
