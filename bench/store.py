# store.py -- Store transactions by the rate of claims and by the number of instances
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Store transactions by the rate of claims and by the number of instances."""

from __future__ import annotations

import itertools

import gevent

from fits import Fit
from mountladder.clocks.virtualclock import VirtualClock
from mountladder.store.write import ABSENT, Write
from mountladder_standins.faults import Faults
from mountladder_standins.localfleet import LocalFleet
from outcomes import Figure

RATES = (50, 100, 200)
NODES = (3, 12, 24)
SPAN_MS = 10_000.0
STORE_MS = 10.0
WINDOW_MS = 50.0


def measure() -> list[Figure]:
    by_rate = tuple(transactions(3, rate) for rate in RATES)
    by_nodes = tuple(transactions(number, 100) for number in NODES)
    fits = [
        Fit("transactions of 3 nodes", "1/s", "claims/s", RATES, by_rate),
        Fit("transactions at 100 claims/s", "1/s", "nodes", NODES, by_nodes),
    ]
    figures = [figure for fit in fits for figure in fit.figures()]
    figures.append(
        Figure("transactions of a data centre of 24 nodes", by_nodes[-1], "1/s", most=25)
    )
    figures.append(Figure("the same for 16 data centres", by_nodes[-1] * 16, "1/s", most=400))
    return figures


def transactions(number: int, rate: int) -> float:
    """Return the transactions a second of one data centre.

    Args:
        number: How many instances it has.
        rate: How many keys they claim a second, in total.
    """
    clock = VirtualClock()
    fleet = LocalFleet(clock)
    names = itertools.count()

    def claim(runtime):
        name = next(names)
        runtime.idempotency.commits.submit(
            Write(f"claim/{name}", f"nonce-{name}".encode(), ABSENT), clock.now() + 4_000.0
        )

    def work():
        for one in range(number):
            fleet.start(f"a-{one:03d}", "a", window_ms=WINDOW_MS)
        fleet.wait_ready()
        clock.sleep(8_000.0)
        fleet.standin.table.faults = Faults(slow_ms=STORE_MS)
        runtimes = list(fleet.runtimes.values())
        before = fleet.standin.table.commits
        tasks = []
        for index in range(int(rate * SPAN_MS / 1000.0)):
            tasks.append(gevent.spawn(claim, runtimes[index % number]))
            clock.sleep(1000.0 / rate)
        gevent.joinall(tasks, raise_error=True)
        return (fleet.standin.table.commits - before) * 1000.0 / SPAN_MS

    try:
        return clock.run(gevent.spawn(work))
    finally:
        fleet.stop()
