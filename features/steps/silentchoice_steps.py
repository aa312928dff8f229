# silentchoice_steps.py -- Steps about the choice of servers that were silent for a moment
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about the choice of servers that were silent for a moment."""

import math
from collections import Counter

from behave import given, then, when
from forward_steps import SETTLE_MS
from forwardbasics import (
    PATHS,
    SECOND_MS,
    record_sends,
    request,
    send_steadily,
    serve,
    start_two_instances,
)
from logrecorder import record_lines

from mountladder.forwarding.serverrecord import ID_LABEL
from mountladder.resultclass import ResultClass
from mountladder_standins.localupstream import WORK_MS
from mountladder_standins.serverfault import ServerFault

ROUTE_TIMEOUT_MS = 6_000.0
SERVERS = {
    service: tuple(f"{service}-{n}" for n in range(1, 4)) for service in ("desk", "llm", "enc")
}
STEADY_MS = 4_000.0
SILENT_MS = 1_200.0
AFTER_MS = 6_000.0
LONG_MS = 20_000.0
POLL_MS = 25.0
# How long an instance waits for a connection that cannot be opened.
CONNECT_MS = 300.0
# Another instance, which coordinates a service, is asked meanwhile.
AT_ONCE_MS = 5.0
# A server that is expected to take this much longer than before is hardly chosen.
MAX_RATIO = 2.0


@given("two instances and three servers of each service")
def fleet_with_servers(context):
    start_two_instances(context, SERVERS, ROUTE_TIMEOUT_MS, SETTLE_MS)
    record_lines(context)
    record_sends(context)
    context.silences = {}
    context.avoided_until = {}
    context.usual_factor = 1.0


def be_silent(context, name, from_ms, accepts):
    upstream, until_ms = context.fleet.upstream, from_ms + SILENT_MS
    for one in [upstream.silent] if accepts else [upstream.silent, upstream.unreachable]:
        context.clock.call_later(from_ms, lambda names=one: names.add(name))
        context.clock.call_later(until_ms, lambda names=one: names.discard(name))
    now = context.clock.now()
    context.silences[name] = (now + from_ms, now + until_ms)


def by_use(context, service):
    """Return the servers of a service, the one that was sent most first."""
    sent = Counter(one for _, one, *_ in context.sent)
    return sorted(SERVERS[service], key=lambda one: -sent[one])


def watch(context):
    """Record until when an instance avoids each server that was silent, and what is usual there."""
    now, usual = context.clock.now(), context.usual_factor
    for instance in context.fleet.instances.values():
        for name, state in instance.router.states.items():
            _, until = context.silences.get(name, (now, math.inf))
            factor = state.time_factor(now)
            if not context.silences:
                context.usual_factor = max(factor, context.usual_factor)
            elif now >= until and (not state.in_use(now) or factor > MAX_RATIO * usual):
                context.avoided_until[name] = now
    context.clock.call_later(POLL_MS, lambda: watch(context))


@when("{which} server of {service} is silent amid {per_s:d} {kind} requests a second, taking {how}")
def silent_amid_load(context, which, service, per_s, kind, how):
    def begin():
        names = by_use(context, service)
        for n, name in enumerate(names[:1] if which == "one" else names):
            be_silent(context, name, n * SILENT_MS if which == "each" else 0.0, how != "nothing")

    context.clock.call_later(STEADY_MS, begin)
    watch(context)
    silences = len(SERVERS[service]) if which == "each" else 1
    total_ms = STEADY_MS + silences * SILENT_MS + AFTER_MS
    context.began = context.clock.now()
    send_steadily(context, per_s, kind, total_ms, fields=lambda n: {"allowed_ms": ROUTE_TIMEOUT_MS})


@then("each of them is used as before within {ms:d} ms after it goes on")
def used_as_before(context, ms):
    avoided = {
        name: context.avoided_until.get(name, until) - until
        for name, (_, until) in context.silences.items()
    }
    assert max(avoided.values()) <= ms, avoided


@then("at most {most:d} requests are not answered")
def hardly_any_unanswered(context, most):
    start = context.began + STEADY_MS
    ends = context.ends.items()
    failed = [(context.arrived[id_] - start, end[2]) for id_, end in ends if end[2]]
    assert len(failed) <= most, failed


@when("one server of {service} stays silent amid {per_s:d} {kind} requests a second")
def stays_silent(context, service, per_s, kind):
    def begin():
        context.lost = by_use(context, service)[0]
        context.fleet.upstream.silent.add(context.lost)

    context.clock.call_later(STEADY_MS, begin)
    context.began = context.clock.now()
    fields = {"allowed_ms": ROUTE_TIMEOUT_MS}
    send_steadily(context, per_s, kind, STEADY_MS + LONG_MS, fields=lambda n: fields)


@then("it is sent at most {most:d} requests from {start:d} ms of its silence on")
def hardly_sent(context, most, start):
    since = context.began + STEADY_MS + start
    sent = sum(one == context.lost and at >= since for at, one, *_ in context.sent)
    assert sent <= most, sent


def record_checks(context):
    """Record when an instance begins to check a server, and have a check in vain take a while."""
    context.checks, context.checking, context.most_checking = [], Counter(), 0

    def recording(name, reaches):
        def recorded(server):
            key = (name, server.labels[ID_LABEL])
            context.checks.append((context.clock.now(), *key))
            context.checking[key] += 1
            context.most_checking = max(context.most_checking, context.checking[key])
            reached = reaches(server)
            if not reached:
                context.clock.sleep(CONNECT_MS)
            context.checking[key] -= 1
            return reached

        return recorded

    for name, instance in context.fleet.instances.items():
        checks = instance.reach_checks
        checks.reaches = recording(name, checks.reaches)


@when(
    "one server of {service} cannot be reached for {s:d} s amid {per_s:d} {kind} requests a second"
)
def out_of_reach(context, service, s, per_s, kind):
    def begin():
        context.lost = by_use(context, service)[0]
        context.fleet.upstream.unreachable.add(context.lost)

    record_checks(context)
    context.clock.call_later(STEADY_MS, begin)
    context.began = context.clock.now()
    fields = {"allowed_ms": ROUTE_TIMEOUT_MS}
    send_steadily(context, per_s, kind, STEADY_MS + s * SECOND_MS, fields=lambda n: fields)


@then("each instance checks it at most {most:d} times, one check at a time")
def checked_seldom(context, most):
    counts = Counter(name for _, name, server in context.checks if server == context.lost)
    assert counts and max(counts.values()) <= most, context.checks
    assert context.most_checking == 1, context.most_checking


@when("there are no requests for {s:d} s")
def no_requests(context, s):
    context.quiet_since = context.clock.now()
    context.run(context.clock.sleep, s * SECOND_MS)


@then("no instance checks it in that time")
def not_checked(context):
    assert context.checks, "there was no check before either"
    assert all(at <= context.quiet_since for at, *_ in context.checks), context.checks


@when("it accepts connections again amid {per_s:d} {kind} requests a second")
def accepts_again(context, per_s, kind):
    context.back_at = context.clock.now()
    context.fleet.upstream.unreachable.discard(context.lost)
    fields = {"allowed_ms": ROUTE_TIMEOUT_MS}
    ms = STEADY_MS
    send_steadily(context, per_s, kind, ms, label="later", fields=lambda n: fields)


@then("it is sent at most {most:d} requests until it has answered one")
def sent_few_at_first(context, most):
    sent = [at for at, one, *_ in context.sent if one == context.lost and at >= context.back_at]
    assert sent, "it is not used again"
    at_first = [at for at in sent if at < sent[0] + WORK_MS]
    assert len(at_first) <= most, at_first


@given("every instance found all servers {state}")
def all_servers_found(context, state):
    now = context.clock.now()
    silent_ms = float(state.split()[2]) if state.startswith("silent") else 0.0
    for instance in context.fleet.instances.values():
        for name in (one for names in SERVERS.values() for one in names):
            server = instance.router.state(instance.directory.find(name))
            server.breaker.trip(now, now - silent_ms, is_silent=silent_ms > 0)


@when("instance {name} gets a {kind} request after their silence")
def get_request_after_silence(context, name, kind):
    sent = request("r", PATHS[kind], context.clock.now(), allowed_ms=ROUTE_TIMEOUT_MS)
    context.run(serve, context, name, sent)


@then("that request is answered")
def is_answered(context):
    assert context.ends["r"][0] == 200 and not context.ends["r"][2], context.ends["r"]


@then("that request is refused at once")
def is_refused(context):
    *_, class_, error = context.ends["r"]
    assert class_ == ResultClass.NOT_RUN.value and error.retry_after_ms > 0, context.ends["r"]
    assert context.ended_at["r"] - context.arrived["r"] <= AT_ONCE_MS, context.ended_at


def watch_slow(context):
    """Record when each server is first taken to be slow by an instance."""
    now = context.clock.now()
    for instance in context.fleet.instances.values():
        for name, state in instance.router.states.items():
            if name in context.fleet.upstream.faults and state.time_factor(now) > MAX_RATIO:
                context.slow_from.setdefault(name, now)
    context.clock.call_later(POLL_MS, lambda: watch_slow(context))


@when("every server of {service} becomes slow amid {per_s:d} {kind} requests a second")
def become_slow(context, service, per_s, kind):
    context.slow_from = {}

    def begin():
        context.began = context.clock.now()
        context.fleet.upstream.faults.update(dict.fromkeys(SERVERS[service], ServerFault.SLOW))
        watch_slow(context)

    context.clock.call_later(STEADY_MS, begin)
    fields = {"allowed_ms": ROUTE_TIMEOUT_MS}
    send_steadily(context, per_s, kind, 2 * STEADY_MS, fields=lambda n: fields)


@then("each of the {number:d} servers is found to be slow within {ms:d} ms")
def found_slow(context, number, ms):
    found = {name: at - context.began for name, at in context.slow_from.items()}
    assert len(found) == number and max(found.values()) <= ms, found
