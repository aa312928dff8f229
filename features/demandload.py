# demandload.py -- Load on divided services by data centre, and what happens to them meanwhile
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Load on divided services by data centre, and what happens to them meanwhile."""

import math

import gevent
from forwardbasics import BATCH, find_coordinator

from mountladder.forwarding.stagejob import StageJob

SECOND_MS = 1_000.0
PIECES = 4
COLD_MS = 20_000.0


class Sent:
    """A stage that was submitted: by callers of which data centre, when, and when it ended."""

    def __init__(self, datacentre, at):
        self.datacentre, self.at = datacentre, at
        self.took_ms, self.ends, self.failed = math.inf, 0, False


def submit(context, datacentre, number, preferred=""):
    """Submit a stage at an instance of a data centre, if possible not at the coordinator."""
    found = [
        one for one in context.fleet.instances.values() if one.settings.datacentre == datacentre
    ]
    others = [one for one in found if one.fleet.coordinator("enc") is not None] or found
    instance = others[number % len(others)]
    now = context.clock.now()
    sent = Sent(datacentre, now)
    context.submitted.append(sent)

    def done(results):
        sent.took_ms, sent.ends = context.clock.now() - sent.at, sent.ends + 1
        sent.failed = any(one.failure is not None for one in results)
        instance.dispatch.release("enc", [one.handle for one in results if one.handle])

    name = f"{datacentre}{len(context.submitted)}"
    job = StageJob(name, 0, "enc", PIECES, "key", (), now + 9e3, now + 3e3, 0, 8e3, preferred)
    instance.dispatch.submit(job, done)


def send(context, datacentre, load, seconds, preferred=""):
    """Submit stages at a part of a data centre's capacity, which may depend on the time."""
    number, began = 0, context.clock.now()
    servers = len(context.servers[datacentre])
    capacity_per_ms = servers * BATCH.pieces / BATCH.expected_ms(BATCH.pieces)
    while context.clock.now() - began < seconds * SECOND_MS:
        current = load(context.clock.now() - began)
        if current <= 0.0:
            context.clock.sleep(50.0)
            continue
        submit(context, datacentre, number, preferred)
        number += 1
        context.clock.sleep(PIECES / (current * capacity_per_ms))


def send_all(context, loads, seconds, preferred=""):
    tasks = [
        gevent.spawn(send, context, name, load, seconds, preferred) for name, load in loads.items()
    ]
    context.run(gevent.joinall, tasks)


def ask_all(context, shares, seconds):
    context.phase_at = context.clock.now()
    loads = {name: lambda ms, one=one: one for name, one in zip("abc", shares, strict=True)}
    send_all(context, loads, seconds)


def end_servers(context):
    for name in context.servers["b"]:
        context.fleet.servers.put(name, None)


def cool_servers(context):
    for name in context.servers["b"]:
        context.fleet.add_server(name, "enc", "b", cold_ms=COLD_MS)


def cut_off_b(context):
    for other in "ac":
        context.fleet.network.cut_datacentres.add(frozenset({"b", other}))


def stop_coordinator(context):
    name = find_coordinator(context, "enc", "a").settings.name
    context.run(context.fleet.instances.pop(name).close)


EVENTS = {
    "the servers of b end": end_servers,
    "the servers of b cool": cool_servers,
    "data centre b is empty": lambda context: context.fleet.drain("b"),
    "data centre b is cut": cut_off_b,
    "the coordinator of a stops": stop_coordinator,
}
