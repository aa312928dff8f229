# prefixes.py -- Prefix hits by how many references a router needs to record a prefix
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Prefix hits by how many references a router needs to record a prefix.

Li, Wu, Ping, Tao, Lu and Chen, "Coordinated Placement and Replacement for Grid-Based Hierarchical
Web Caches", cache what was recently referenced at least K times (LRU-K, K = 2). Here, a router
records which server a prefix was last sent to: never, at every reference, or only from the second
reference on.
"""

from __future__ import annotations

import random
import statistics

from mountladder.clocks.virtualclock import VirtualClock
from mountladder.configuration.backendserver import BackendServer
from mountladder.configuration.stage import Stage
from mountladder.metrics.memorymetrics import MemoryMetrics
from mountladder.routing.costmodel import CostModel
from mountladder.routing.expectedcompletion import ExpectedCompletion
from mountladder.routing.router import Router
from mountladder_standins.standinserver import StandinServer
from outcomes import Figure

SERVERS = 10
PREFIXES = 3_000
REQUESTS = 12_000
SKEWS = (0.7, 0.9)
SEEDS = 5
IN_FLIGHT = 24
WORK_MS = 100.0
HIT_SAVING = 0.7
MAX_PREFIXES = 400
STAGE = Stage("generate", "generate", "m", "", (), True, True, 0.0)


class SecondReferenceRouter(Router):
    """Records a prefix only from its second reference on."""

    def record_prefix(self, prefix: int, server: str) -> None:
        """Record the server of a prefix if the prefix was referenced before."""
        seen = self.__dict__.setdefault("seen", {})
        seen[prefix] = seen.pop(prefix, 0) + 1
        if len(seen) > 4 * MAX_PREFIXES:
            del seen[next(iter(seen))]
        if seen[prefix] > 1:
            super().record_prefix(prefix, server)


class NoHistoryRouter(Router):
    """Records no prefix."""

    def record_prefix(self, prefix: int, server: str) -> None:
        """Record nothing."""


ROUTERS = {"none": NoHistoryRouter, "every reference": Router, "second on": SecondReferenceRouter}


def measure() -> list[Figure]:
    figures = []
    for skew in SKEWS:
        for name, router_class in ROUTERS.items():
            runs = [run(router_class, skew, seed) for seed in range(SEEDS)]
            hits = statistics.median(one[0] for one in runs)
            spread = statistics.median(one[1] for one in runs)
            figures.append(Figure(f"skew {skew}, history {name}: prefix hits", hits, "share"))
            figures.append(Figure(f"skew {skew}, history {name}: fullest server", spread, "x mean"))
    return figures


def run(router_class: type[Router], skew: float, seed: int) -> tuple[float, float]:
    """Return the fraction of prefix hits, and the highest calls of a server over the mean."""
    rng = random.Random(seed)
    clock = VirtualClock()
    servers = [
        BackendServer(f"s{one}", {}, "engine", "x", "a", "new", 1.0, 4, False, ())
        for one in range(SERVERS)
    ]
    standins = {one.name: StandinServer(one.name, clock) for one in servers}
    costs = CostModel()
    costs.record(STAGE, "new", 100, WORK_MS)
    router = router_class(clock, random.Random(seed), costs, ExpectedCompletion(), MemoryMetrics())
    weights = [1.0 / (rank + 1) ** skew for rank in range(PREFIXES)]
    in_flight = []
    hits = 0
    calls = dict.fromkeys(standins, 0)
    for prefix in rng.choices(range(PREFIXES), weights, k=REQUESTS):
        choice = router.pick(servers, STAGE, 100, 1_000.0, prefix=prefix)
        name = choice.state.server.name
        hit = standins[name].touch_prefix(b'"input":"%d","results":{}' % prefix)
        hits += hit
        calls[name] += 1
        in_flight.append((choice, WORK_MS * (1.0 - HIT_SAVING * hit)))
        clock.time += WORK_MS / IN_FLIGHT
        if len(in_flight) >= IN_FLIGHT:
            finished, spent = in_flight.pop(rng.randrange(len(in_flight)))
            router.record_success(finished, STAGE, 100, spent, None)
        while len(router.prefixes) > MAX_PREFIXES:
            router.prefixes.popitem(last=False)
    return hits / REQUESTS, max(calls.values()) * SERVERS / REQUESTS
