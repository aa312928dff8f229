# pooledservice_steps.py -- Steps about servers that take the pieces of stages and requests
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about servers that take the pieces of stages and the requests of routes."""

from dataclasses import replace

import gevent
from behave import given, then, when
from fleetevents import EVENT_MS, EVENTS
from forwardbasics import (
    PATHS,
    ROUTES,
    SECOND_MS,
    catalogue,
    max_within,
    request,
    route,
    serve,
)
from serverlimit_steps import EFFECTIVE_MS, SETTLE_MS, announce_limit, of_service

from mountladder.forwarding.routekind import RouteKind

DIRECT = route("direct", "/direct/", RouteKind.SAFE, "enc")
PATH = "/direct/1"
# Servers that crash if they reject many requests have room for so many, which take so long.
ROOM, WORK_MS = 3, 200.0


@given("requests of a route go to service enc as well")
def pooled(context):
    configure(context)
    context.run(context.clock.sleep, SETTLE_MS)


def configure(context, **fields):
    """Have requests of a route go to service enc, and set further fields of that service."""
    plain = catalogue(len(context.fleet.catalogues) + 10)
    services = {**plain.services, "enc": replace(plain.services["enc"], **fields)}
    routes = {"desk.x": (DIRECT, *ROUTES)}
    context.fleet.configure(replace(plain, services=services, routes=routes))


@given("2 more enc servers in each data centre")
def more_servers(context):
    for datacentre in "abc":
        for n in range(2):
            name = f"enc-more-{datacentre}-{n}"
            context.servers[name] = ("enc", datacentre)
            context.fleet.add_server(name, "enc", datacentre)
    context.run(context.clock.sleep, SETTLE_MS)


def send_both(context, pieces, direct, ms, direct_after_ms=0.0):
    """Send staged requests and direct ones at steady rates, to the instances in turn."""
    context.length_ms = ms

    def send_series(kind, path, per_s, delay_ms):
        context.clock.sleep(delay_ms)
        names, tasks = list(context.fleet.instances), []
        for n in range(round(per_s * (ms - delay_ms) / SECOND_MS)):
            alive = [one for one in names if one in context.fleet.instances]
            name = alive[n % len(alive)]
            sent = request(f"{name}/{kind}-{n}", path, context.clock.now())
            tasks.append(gevent.spawn(serve, context, name, sent))
            context.clock.sleep(SECOND_MS / per_s)
        gevent.joinall(tasks)

    def send_all():
        series = [
            ("staged", PATHS["staged"], pieces, 0.0),
            ("direct", PATH, direct, direct_after_ms),
        ]
        gevent.joinall([gevent.spawn(send_series, *one) for one in series if one[2]])

    context.run(send_all)


@when(
    "all enc servers announce a limit of {per_s:g} requests a second, and {pieces:d} staged and "
    "{direct:d} direct requests a second come for {ms:d} ms"
)
def limited(context, per_s, pieces, direct, ms):
    for server in of_service(context, "enc"):
        announce_limit(context, server, per_s)
    send_both(context, pieces, direct, ms)


@when(
    "all enc servers announce a limit of {per_s:g} requests a second, and {pieces:d} staged and "
    "{direct:d} direct requests a second come for {ms:d} ms while {what}"
)
def limited_while(context, per_s, pieces, direct, ms, what):
    context.topic = "enc"
    context.clock.call_later(EVENT_MS, lambda: gevent.spawn(EVENTS[what], context))
    limited(context, per_s, pieces, direct, ms)


@when(
    "all enc servers announce a limit of {per_s:g} requests a second, and {pieces:d} staged "
    "requests a second come for {ms:d} ms, {direct:d} direct ones as well after a while"
)
def direct_later(context, per_s, pieces, ms, direct):
    for server in of_service(context, "enc"):
        announce_limit(context, server, per_s)
    send_both(context, pieces, direct, ms, direct_after_ms=EVENT_MS)


def sent_to(context, server, since=float("-inf")):
    """Return when a server was sent something, how many pieces or requests, and if by a call."""
    return [
        (at, number, not instance)
        for at, name, number, instance in context.sent
        if name == server and at >= since
    ]


@then("calls with pieces and other requests each had over {percent:d} of 100 of what was sent")
def both_sent(context, percent):
    for server, limits in context.announced_limits.items():
        sent = sent_to(context, server, limits[0][0] + EFFECTIVE_MS)
        calls = sum(is_call for _, _, is_call in sent)
        shares = (calls, len(sent) - calls)
        assert sent and min(shares) > percent / 100 * len(sent), (server, shares)


@when(
    "all enc servers are cold for {cold_ms:d} ms at {per_s:d} requests a second, and {pieces:d} "
    "staged and {direct:d} direct requests a second come for {ms:d} ms"
)
def cold(context, cold_ms, per_s, pieces, direct, ms):
    configure(context, cold_ms=float(cold_ms), cold_per_s=float(per_s), health_path="/health")
    context.run(context.clock.sleep, SETTLE_MS)
    context.cold_names = of_service(context, "enc")
    context.cold_until = context.clock.now() + cold_ms
    for name in context.cold_names:
        service, datacentre = context.servers[name]
        context.fleet.add_server(name, service, datacentre, born=7, cold_ms=float(cold_ms))
    context.run(context.clock.sleep, SETTLE_MS)
    send_both(context, pieces, direct, ms)


@then("no cold server got more than {maximum:d} pieces and requests in a second")
def cold_kept(context, maximum):
    for name in context.cold_names:
        sent = [one for one in sent_to(context, name) if one[0] < context.cold_until]
        times = [at for at, number, _ in sent for _ in range(number)]
        most = max_within(times, SECOND_MS)
        assert times and most <= maximum, (name, most, len(times))


@when(
    "all enc servers allow {rejections:d} rejections a second, and {pieces:d} staged and "
    "{direct:d} direct requests a second come for {ms:d} ms"
)
def fragile(context, rejections, pieces, direct, ms):
    context.fragile, context.began_at = context.fleet.upstream.fragile, context.clock.now()
    for name in of_service(context, "enc"):
        context.fragile.max_rejections[name] = rejections
        context.fragile.work_ms[name] = WORK_MS
        context.fragile.room[name] = ROOM
    send_both(context, pieces, direct, ms)
