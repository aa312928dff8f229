# streamversion_steps.py -- Steps about streams that go on while several software versions serve
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about streams that go on while several software versions serve."""

from dataclasses import replace

from behave import given, then, when
from continuation_steps import BREAK_MS, LIMITS, MANY_PROMPTS, PROMPTS
from forward_steps import SETTLE_MS, cut_off, events
from forwardbasics import (
    PATHS,
    catalogue,
    placement_coordinator,
    request,
    save_retries,
    send_and_record,
    serve,
)

from mountladder.forwarding.service import Service
from mountladder_standins.serverfault import ServerFault

# More than the servers without any have, and less than the most loaded ones.
FEW_PROMPTS = MANY_PROMPTS // 2
ROUTE_TIMEOUT_MS = 6_000.0
MAX_ATTEMPTS = 3
KINDS = {"resumable": "resumable", "narration": "stream"}


@given("instances {names} and model servers of two versions")
def versions_fleet(context, names):
    configure(context, backups=None)
    for name in names.split(", "):
        context.fleet.start(name)
    context.versions = {row["server"]: row["version"] for row in context.table}
    for row in context.table:
        context.fleet.add_server(row["server"], "llm", row["datacentre"], version=row["version"])
    context.run(context.clock.sleep, SETTLE_MS)
    save_retries(context)
    context.plans = []
    context.bodies = {}


def configure(context, backups):
    plain = catalogue(len(context.fleet.catalogues) + 1)
    routes = {
        host: tuple(
            replace(one, timeout_ms=ROUTE_TIMEOUT_MS, max_attempts=MAX_ATTEMPTS) for one in all_
        )
        for host, all_ in plain.routes.items()
    }
    services = {**plain.services, "llm": Service("llm", 100, 8, 280_740, backups=backups)}
    context.fleet.configure(replace(plain, services=services, routes=routes))


@given("model servers keep copies")
def keep_copies(context):
    configure(context, backups=LIMITS)
    context.run(context.clock.sleep, SETTLE_MS)


@given("server {first} runs the next stream, and {second} has the least to do after it")
def least_loaded(context, first, second):
    set_load(context, {second: FEW_PROMPTS, first: 0})


def set_load(context, load):
    others = dict.fromkeys(context.versions, MANY_PROMPTS)
    for instance in context.fleet.instances.values():
        placement_coordinator(instance).placement.running_prompts.update(others | load)


@given("server {name} breaks off within the third event")
def breaks_off(context, name):
    context.fleet.upstream.faults[name] = ServerFault.CUT


@given("server {name} breaks off within the third event, once")
def breaks_off_once(context, name):
    breaks_off(context, name)
    context.plans.append((BREAK_MS, context.fleet.upstream.faults.clear))


@given("servers {names} have drained")
def have_drained(context, names):
    for name in names.split(", "):
        context.fleet.add_server(name, "llm", "b", draining=True, version=context.versions[name])
    context.run(context.clock.sleep, SETTLE_MS)


@given("server {name} has started again at version {version}")
def started_again(context, name, version):
    list_version(context, name, version)
    context.run(context.clock.sleep, SETTLE_MS)


@given("server {name} is found to run version {version} after {ms:d} ms")
def found_to_run(context, name, version, ms):
    context.plans.append((float(ms), lambda: list_version(context, name, version)))


@given("a coordinator of an older build has {name} keep the copy")
def older_coordinator(context, name):
    for instance in context.fleet.instances.values():
        placement_coordinator(instance).backups.place = lambda *arguments: name


def list_version(context, name, version):
    context.versions[name] = version
    context.fleet.add_server(name, "llm", "b", version=version)


@given("server {name} crashes after {ms:d} ms")
def crashes(context, name, ms):
    context.plans.append((float(ms), lambda: crash(context, name)))


def crash(context, name):
    upstream = context.fleet.upstream
    upstream.crash(context.fleet.instances["a-1"].directory.find(name))


def stream(context, id_, kind="resumable", **fields):
    plain = request(id_, PATHS[KINDS[kind]], context.clock.now(), **fields)
    return replace(plain, allowed_ms=ROUTE_TIMEOUT_MS, prompt=PROMPTS[kind])


@when("{kind} stream {id_} is sent to {name}")
def send_stream(context, kind, id_, name):
    for ms, act in context.plans:
        context.clock.call_later(ms, act)
    context.run(serve, context, name, stream(context, id_, kind))
    context.bodies[id_] = context.ends[id_][1]


@given("a caller of resumable stream {id_} at {name} has {number:d} events when {loss}")
def lose_stream(context, id_, name, number, loss):
    context.run(read_until, context, name, id_, number)
    lose(context, name, loss)
    # A server of the other version has the least to do, and the one that began it the most.
    server = context.fleet.upstream.runs[id_][0]
    version = context.versions[server]
    other = next(one for one, found in context.versions.items() if found != version)
    set_load(context, {server: 2 * MANY_PROMPTS, other: 0})


def read_until(context, name, id_, number):
    """Read a stream until a number of events have arrived, and break the connection."""
    answer = context.fleet.send(name, stream(context, id_))
    body = b""
    for part in answer.body:
        body += part
        if body == events(1, number):
            break
    answer.body.close()
    context.bodies[id_] = body


def lose(context, name, loss):
    if "killed" in loss:
        context.fleet.instances.pop(name).close()
        context.run(context.clock.sleep, BREAK_MS)
    if "starts again" in loss:
        context.fleet.start(name)
        context.run(context.clock.sleep, SETTLE_MS)
    if "cut off" in loss:
        cut_off(context, name)


@when("the caller takes stream {id_} up at {name}")
def take_up(context, id_, name):
    last = str(context.bodies[id_].count(b"\n\n"))
    sent = stream(context, f"{id_}-again", last_event_id=last, resumes=id_)
    context.run(send_and_record, context, name, sent)
    context.bodies[id_] += context.ends[sent.id][1]


@then("stream {id_} ended within {ms:d} ms")
def ended_within(context, id_, ms):
    took_ms = context.ended_at[id_] - context.arrived[id_]
    assert took_ms <= ms, took_ms


@then("stream {id_} has events {first:d} to {last:d}, and ran on {servers}")
def whole_stream(context, id_, first, last, servers):
    runs = context.fleet.upstream.runs
    found = [*runs[id_], *runs[f"{id_}-again"]]
    continued = [name for name, _ in context.fleet.upstream.continued]
    assert found == servers.split(", "), (found, continued, context.ends)
    assert context.bodies[id_] == events(first, last), (context.bodies, context.ends)


@then("no server was sent a copy of it")
def no_copy(context):
    assert not context.fleet.upstream.copies, context.fleet.upstream.copies
