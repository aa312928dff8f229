# goneserver_steps.py -- Steps about servers that have crashed
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about servers that have crashed."""

import random
from types import SimpleNamespace

import gevent
from behave import given, then, when
from forwardbasics import PROMPT, NoColdServers, NoLimits

from mountladder.clocks.virtualclock import VirtualClock
from mountladder.forwarding.placementcoordinator import PlacementCoordinator
from mountladder.forwarding.placementnote import PlacementNote
from mountladder.forwarding.placementorder import PlacementOrder
from mountladder.forwarding.serverrecord import listed_server
from mountladder.metrics.memorymetrics import MemoryMetrics
from mountladder.routing.costmodel import CostModel
from mountladder.routing.expectedcompletion import ExpectedCompletion
from mountladder.routing.router import Router
from mountladder_standins.serverfault import ServerFault

SETTLE_MS = 1_200.0


@given("a placement coordinator that knows servers {names}")
def coordinator_with_servers(context, names):
    servers = tuple(
        listed_server(name, "llm", f"10.0.0.{number}:80", "a", 64, False)
        for number, name in enumerate(names.split(", "))
    )
    context.coordinator_clock = VirtualClock()
    router = Router(
        context.coordinator_clock,
        random.Random(1),
        CostModel(),
        ExpectedCompletion(),
        MemoryMetrics(),
        "a",
        3.0,
    )
    directory = SimpleNamespace(available=lambda service: servers)
    follower = SimpleNamespace(service=lambda name: None)
    context.coordinator = PlacementCoordinator(
        directory, router, context.coordinator_clock, follower, NoColdServers(), NoLimits()
    )
    context.number = 0


def place(context):
    context.number += 1
    return context.coordinator.place(
        PlacementOrder(context.number, "llm", PROMPT, (), ""), "a peer"
    )


@when("an instance reports the server of its prompt as unreachable")
def report_unreachable(context):
    context.gone = place(context).server
    context.coordinator.apply_note(PlacementNote(context.number, 0.0, True, gone=True), "a peer")


@then("the next {number:d} prompts go to other servers")
def elsewhere(context, number):
    chosen = [place(context).server for _ in range(number)]
    assert context.gone not in chosen, chosen


@when("{ms:d} ms go by at the placement coordinator")
def wait_at_coordinator(context, ms):
    context.coordinator_clock.run(gevent.spawn(context.coordinator_clock.sleep, float(ms)))


@then("1 of the next {number:d} prompts tries it again")
def tried_once(context, number):
    chosen = [place(context).server for _ in range(number)]
    assert chosen.count(context.gone) == 1, chosen


@then("server {name} was sent at most {number:d} requests")
def sent_at_most(context, name, number):
    arrivals = [one for one in context.fleet.upstream.arrivals.values() for one in one]
    assert arrivals.count(name) <= number, arrivals


@given("{number:d} further servers of service llm")
def further_servers(context, number):
    for n in range(number):
        context.fleet.add_server(f"llm-x{n}", "llm", "a")
    context.run(context.clock.sleep, SETTLE_MS)


@given("the first {number:d} servers that a request is sent to are unreachable")
def first_unreachable(context, number):
    upstream = context.fleet.upstream
    plain = upstream.open

    def open_(server, call, limit_ms):
        if len(upstream.arrivals[call.request.id]) < number:
            upstream.faults[server.name] = ServerFault.UNREACHABLE
        return plain(server, call, limit_ms)

    upstream.open = open_
