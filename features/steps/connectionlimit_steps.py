# connectionlimit_steps.py -- Steps about an instance that most new connections go to
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about an instance that most new connections go to."""

from contextlib import suppress
from types import SimpleNamespace

import gevent
from behave import given, then, when
from forwardbasics import ROUTES
from gevent import socket
from mountladder_platform.callerserver import CallerServer

from mountladder.admission.connectionlimit import TICK_MS, ConnectionLimit
from mountladder.forwarding.stageforecast import INITIAL_FACTOR, StageForecast
from mountladder.metrics.memorymetrics import MemoryMetrics
from mountladder.metrics.metric import Metric

SECOND_MS = 1_000.0
REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
READ_SECONDS = 2.0


class Load:
    """What callers send to an instance, tick by tick."""

    def __init__(self):
        self.now = 0.0
        self.running, self.received = 0, 0
        self.answers = True
        self.due = 0.0
        self.limit = ConnectionLimit(
            SimpleNamespace(now=lambda: self.now),
            lambda: self.running,
            lambda: self.received,
            lambda: self.answers,
            MemoryMetrics(),
        )

    def tick(self, per_s, late_ms):
        """Let the time of a tick pass; return how many connections were accepted and closed."""
        self.now += TICK_MS + late_ms
        self.due += per_s * (TICK_MS + late_ms) / SECOND_MS
        accepted = closed = 0
        while self.due >= 1.0:
            self.due -= 1.0
            if self.limit.accepts():
                self.received += 1
                accepted += 1
            else:
                closed += 1
        self.limit.tick(late_ms)
        return accepted, closed


@given(
    "an instance that has got {per_s:d} requests a second for {seconds:d} s, with {running:d} in "
    "progress"
)
def usual(context, per_s, seconds, running):
    context.load = Load()
    context.load.running = running
    while context.load.now < seconds * SECOND_MS:
        assert context.load.tick(per_s, 1.0)[1] == 0


@given("{peers:w} of the other instances answer")
def peers_answer(context, peers):
    context.load.answers = peers == "most"


@when(
    "it gets {per_s:d} a second with {running:d} in progress, and tasks wait {ms:d} ms for their "
    "turn"
)
def crowded(context, per_s, running, ms):
    context.load.running, context.per_s, context.late_ms = running, per_s, float(ms)


@when(
    "it gets {per_s:d} a second with {running:d} in progress, and a task waits {ms:d} ms for its "
    "turn once"
)
def pauses(context, per_s, running, ms):
    crowded(context, per_s, running, 1)
    context.load.tick(per_s, float(ms))


def ticks(context, ms):
    """Yield how many connections were accepted and closed in each tick of a time."""
    until = context.load.now + ms
    while context.load.now < until:
        yield context.load.tick(context.per_s, context.late_ms)


@then("within {ms:d} ms it closes new connections unread")
def closes(context, ms):
    assert any(closed for _, closed in ticks(context, ms))
    assert context.load.limit.metrics.counts[Metric.CLOSED_UNREAD.label]


@then("over {seconds:d} s it never has a limit below {least:d}")
def least_limit(context, seconds, least):
    for _ in ticks(context, seconds * SECOND_MS):
        assert context.load.limit.limit >= least, context.load.limit.limit


@then("after {ms:d} ms it accepts all connections")
def accepts_later(context, ms):
    list(ticks(context, ms))
    accepts_all(context, ms)


@then("for {ms:d} ms it accepts all connections")
def accepts_all(context, ms):
    assert not any(closed for _, closed in ticks(context, ms))


@when(
    "it gets {per_s:d} a second for {seconds:d} s, of which each takes {ms:d} ms and over {most:d} "
    "in progress make tasks wait"
)
def busy(context, per_s, seconds, ms, most):
    load, ends = context.load, []
    context.running = []
    until = load.now + seconds * SECOND_MS
    load.running = 0
    while load.now < until:
        excess = load.running - most
        accepted, _ = load.tick(per_s, float(max(0, 3 * excess)))
        ends += [load.now + ms] * accepted
        ends = [one for one in ends if one > load.now]
        load.running = len(ends)
        context.running.append((load.now, load.running))


@then("it has between {least:d} and {most:d} requests in progress in the last {seconds:d} s")
def has_running(context, least, most, seconds):
    since = context.load.now - seconds * SECOND_MS
    running = [number for at, number in context.running if at >= since]
    assert least <= sum(running) / len(running) <= most, running
    assert max(running) <= 2 * most, running


@given("an instance that expects a route to take its usual time")
def expects_usual(context):
    context.now = 0.0
    clock = SimpleNamespace(now=lambda: context.now)
    context.forecast = StageForecast(SimpleNamespace(clock=clock), None)
    context.route = ROUTES[0]


@when("{per_s:d} requests a second of the route are late for {seconds:d} s")
def late(context, per_s, seconds):
    for _ in range(per_s * seconds):
        context.now += SECOND_MS / per_s
        context.forecast.learn(context.route, 100.0, 200.0)


@then("it expects them to take at most {times:g} times as long")
def expected(context, times):
    factor = context.forecast.factors[context.route.name]
    assert 1.0 < factor / INITIAL_FACTOR <= times, factor / INITIAL_FACTOR


@given("a web server for callers that answers requests")
def caller_server(context):
    context.begun = []

    def serve(environ, start_response):
        context.begun.append(environ["PATH_INFO"])
        start_response("200 OK", [("Content-Length", "2")])
        return [b"ok"]

    context.server = CallerServer(("127.0.0.1", 0), serve, log=None)
    context.server.start()
    context.add_cleanup(context.server.stop, 0)


@when("it {what:w} new connections, and a caller sends a request")
@when("it {what:w} connections, and a caller sends a request")
def sends(context, what):
    context.server.accepts = lambda: what == "accepts"
    caller = socket.create_connection(context.server.address)
    caller.settimeout(READ_SECONDS)
    context.data = b""
    with caller, suppress(ConnectionError):
        caller.sendall(REQUEST)
        while part := caller.recv(1_024):
            context.data += part
    gevent.sleep(0)


@then("the caller's connection ends without a byte, and no request was begun")
def ends_unread(context):
    assert (context.data, context.begun) == (b"", []), (context.data, context.begun)


@then("the caller is answered with status 200")
def is_answered(context):
    assert context.data.startswith(b"HTTP/1.1 200") and len(context.begun) == 1, context.data
