# serverlimit_steps.py -- Steps about backend servers that name how much they take
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about backend servers that name how much they take."""

from behave import given, then, when
from forwardbasics import SECOND_MS, catalogue, send_steadily, watch

from mountladder.forwarding.prompt import Prompt
from mountladder.forwarding.promptpart import PromptPart

SETTLE_MS = 1_500.0
# The users' bound: from so long after a server first named its limit it gets in any span of so many
# seconds half as much again as it named and five more, over all instances.
TOLD_MS = 3_000.0
SPAN_S = 4.0
OVERSHOOT, BURST = 1.5, 5


@given("a fleet of {number:d} instances in data centres a, b, c")
def fleet(context, number):
    context.fleet.configure(catalogue(2))
    for n in range(number):
        context.fleet.start(f"{'abc'[n % 3]}-{n}")
    context.run(context.clock.sleep, SETTLE_MS)
    context.named = {}
    watch(context)


def send(context, rate, kind, ms, **options):
    """Send requests at a steady rate, with prompts of twelve subjects."""

    def fields(n):
        if kind not in {"stream", "resumable", "staged"}:
            return {}
        parts = (PromptPart(f"subject-{n % 12}", 800), PromptPart(f"own-{n}", 200))
        return {"prompt": Prompt(1_000, 30, parts)}

    send_steadily(context, rate, kind, ms, fields=fields, **options)


def name_limit(context, server, per_s):
    """Have a server name a limit from now on."""
    context.fleet.upstream.limits[server] = per_s
    context.named.setdefault(server, []).append((context.clock.now(), per_s))


@when(
    "server {server} names {per_s:g} request a second, and {rate:d} {kind} requests a second come "
    "for {ms:d} ms"
)
def names_limit(context, server, per_s, rate, kind, ms):
    name_limit(context, server, per_s)
    send(context, rate, kind, ms)


def arrivals(context, server):
    """Return when requests came to a server; a call with pieces is one."""
    return [at for at, name, _, _ in context.sent if name == server]


@then("no server got more than its limit allows")
def within_limits(context):
    for server, ((since, per_s),) in context.named.items():
        times = [at for at in arrivals(context, server) if at >= since]
        counted = [at for at in times if at >= times[0] + TOLD_MS]
        most = OVERSHOOT * SPAN_S * per_s + BURST
        spans = [sum(at <= one < at + SPAN_S * SECOND_MS for one in counted) for at in counted]
        assert max(spans, default=0) <= most, (server, max(spans), most)
