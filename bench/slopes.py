# slopes.py -- Cost of the control plane by the number of instances, documents and keys
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Cost of the control plane by the number of instances, documents and keys."""

from __future__ import annotations

import gc
import hashlib
import time
import tracemalloc
from collections.abc import Callable

import gevent
from gevent import socket

from fits import Fit
from mountladder.claims.keyrecord import KeyRecord
from mountladder.claims.keyregistry import KeyRegistry
from mountladder.claims.keystate import KeyState
from mountladder.clocks.systemclock import SystemClock
from mountladder.clocks.virtualclock import VirtualClock
from mountladder.configuration.backendserver import BackendServer
from mountladder.configuration.change import Change
from mountladder.configuration.configuration import Configuration
from mountladder.configuration.team import Team
from mountladder.membership.heartbeat import Heartbeat
from mountladder.membership.instance import Instance
from mountladder.membership.tcplink import TcpLink
from mountladder_standins.localfleet import LocalFleet
from outcomes import Figure

NODES = (6, 12, 24)
WARM_UP_MS = 15_000.0
SPAN_MS = 30_000.0
DOCUMENTS = (1_500, 3_000, 6_000)
KEYS = (2_000, 4_000, 8_000)
MESSAGES = 4_000


def measure() -> list[Figure]:
    return [figure for fit, max_at in fits() for figure in fit.figures(max_at)] + [message_cost()]


def fits() -> list[tuple[Fit, tuple[float, float] | None]]:
    """Return every fit, with the size expected in two years and the upper bound there, or None."""
    idle = [idle_fleet(number) for number in NODES]
    names = ("messages sent", "bytes sent", "processor time", "store reads for configuration")
    units = ("1/s", "bytes/s", "ms/s", "1/s in all")
    fitted = [
        (Fit(f"{name} by a node", unit, "nodes", NODES, tuple(one[index] for one in idle)), None)
        for index, (name, unit) in enumerate(zip(names, units))
    ]
    fitted[0] = (fitted[0][0], (24, 14.0))
    fitted[1] = (fitted[1][0], (24, 2_500.0))
    fitted[2] = (fitted[2][0], (24, 19.0))
    adopt = tuple(adopt_ms(number) for number in DOCUMENTS)
    fitted.append((Fit("adopting a change", "ms", "documents", DOCUMENTS, adopt), (5_800, 19.0)))
    memory = tuple(memory_of(lambda n=number: configuration(n)) for number in DOCUMENTS)
    fitted.append(
        (Fit("memory of a configuration", "MB", "documents", DOCUMENTS, memory), (5_800, 64))
    )
    key_memory = tuple(memory_of(lambda n=number: keys(n)) for number in KEYS)
    fitted.append((Fit("memory of kept keys", "MB", "keys", KEYS, key_memory), (30_000, 96)))
    return fitted


def idle_fleet(number: int) -> tuple[float, float, float, float]:
    """Run instances of one data centre without load.

    Returns:
        The messages, bytes and milliseconds of processor time per second and instance, and the
        store reads per second of all instances together.
    """
    clock = VirtualClock()
    fleet = LocalFleet(clock)

    def work():
        fleet.change_configuration(documents(100))
        for one in range(number):
            fleet.start(f"a-{one:03d}", "a")
        fleet.wait_ready()
        clock.sleep(WARM_UP_MS)
        runtimes = list(fleet.runtimes.values())
        before = [totals(runtimes), time.process_time()]
        clock.sleep(SPAN_MS)
        spent = time.process_time() - before[1]
        after = totals(runtimes)
        seconds = SPAN_MS / 1000.0
        messages, size, reads = ((new - old) / seconds for new, old in zip(after, before[0]))
        return messages / number, size / number, spent * 1000.0 / seconds / number, reads

    try:
        return clock.run(gevent.spawn(work))
    finally:
        fleet.stop()


def totals(runtimes) -> tuple[int, int, int]:
    return (
        sum(one.peers.messages for one in runtimes),
        sum(one.peers.bytes for one in runtimes),
        sum(one.follower.reads for one in runtimes),
    )


def documents(number: int) -> list:
    """Teams and servers, in the ratio expected in two years (5 to 3)."""
    teams = [
        Team(f"t{one}", {"tier": "x"}, hashlib.sha256(str(one).encode()).hexdigest(), 1.0, 0, "")
        for one in range(number * 5 // 8)
    ]
    servers = [
        BackendServer(
            f"s{one}",
            {"role": "generate", "rack": str(one % 40)},
            "engine",
            f"10.0.{one}:80",
            f"d{one % 16}",
            "new",
            1.0,
            8,
            False,
            (),
        )
        for one in range(number * 3 // 8)
    ]
    return teams + servers


def configuration(number: int) -> Configuration:
    return Configuration().after(Change(1, "o", "a", 0.0, tuple(documents(number)), ()))


def adopt_ms(number: int) -> float:
    """Processor time of decoding and applying one change, in milliseconds."""
    base = configuration(number)
    value = Change(2, "o", "a", 0.0, (documents(16)[-1],), ()).encode()
    return timed_ms(lambda: base.after(Change.decode(value)).teams_by_token, 20)


def timed_ms(function: Callable[[], object], times: int) -> float:
    gc.collect()
    started = time.process_time()
    for _ in range(times):
        function()
    return (time.process_time() - started) * 1000.0 / times


def memory_of(make: Callable[[], object]) -> float:
    gc.collect()
    tracemalloc.start()
    made = make()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del made
    return size / 1e6


def keys(number: int) -> KeyRegistry:
    """A registry of the keys of finished requests, with answers of 500 bytes."""
    registry = KeyRegistry(VirtualClock())
    for one in range(number):
        answer = b'"' + b"x" * 500 + b'"'
        record = KeyRecord(
            f"team/{one:020d}",
            f"{one:032x}",
            "incarnation",
            f"{one:032x}",
            0.0,
            KeyState.DONE,
            answer,
        )
        registry.begin(record)
        registry.record_outcome(record)
    return registry


def message_cost() -> Figure:
    """Processor time of one heartbeat over TCP: encode, sign, send, receive, verify, decode."""
    first, second = socket.socketpair()
    links = [
        TcpLink(end, b"secret", Instance(str(one), str(one), "a", "", ""))
        for one, end in enumerate((first, second))
    ]
    gevent.joinall([gevent.spawn(link.handshake) for link in links], raise_error=True)
    heartbeat = Heartbeat(123_456, 420)
    receiver = gevent.spawn(lambda: [links[1].receive() for _ in range(MESSAGES)])
    started = time.process_time()
    for one in range(MESSAGES):
        links[0].send(heartbeat)
        if one % 8 == 0:
            gevent.sleep(0)
    receiver.join()
    spent = (time.process_time() - started) * 1e6 / MESSAGES
    for link in links:
        link.close()
    SystemClock()
    return Figure("one heartbeat over TCP, both ends", spent, "us", most=400)
