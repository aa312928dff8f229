# decision.py -- Processor time of a routing decision by the number of servers
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Processor time of a routing decision by the number of servers."""

from __future__ import annotations

import random
import statistics
import time

from fits import Fit
from mountladder.clocks.systemclock import SystemClock
from mountladder.configuration.backendserver import BackendServer
from mountladder.configuration.stage import Stage
from mountladder.metrics.memorymetrics import MemoryMetrics
from mountladder.routing.costmodel import CostModel
from mountladder.routing.expectedcompletion import ExpectedCompletion
from mountladder.routing.router import Router
from outcomes import Figure

SERVERS = (33, 66, 131, 262)
DECISIONS = 2_000
STAGE = Stage("generate", "generate", "m", "", (), True, True, 0.0)


def measure() -> list[Figure]:
    times = tuple(decision_us(number) for number in SERVERS)
    fit = Fit("one decision", "us", "servers", SERVERS, times)
    growth = (times[3] / times[1]) / (SERVERS[3] / SERVERS[1])
    return [
        *fit.figures((131, 150.0)),
        Figure("growth of a decision over growth of servers", growth, "ratio", most=0.9),
    ]


def decision_us(number: int) -> float:
    servers = [
        BackendServer(f"s{one}", {}, "engine", "x", "a", ("old", "new")[one % 2], 1.0, 8, False, ())
        for one in range(number)
    ]
    rng = random.Random(1)
    costs = CostModel()
    for age, ms in (("old", 900.0), ("new", 300.0)):
        costs.record(STAGE, age, 500, ms)
    router = Router(SystemClock(), rng, costs, ExpectedCompletion(), MemoryMetrics())
    rounds = []
    for _ in range(5):
        started = time.process_time()
        for one in range(DECISIONS):
            choice = router.pick(servers, STAGE, 500, 2_000.0, prefix=one % 50)
            if one % 2:
                router.record_success(choice, STAGE, 500, 300.0, 3)
        rounds.append((time.process_time() - started) * 1e6 / DECISIONS)
    return statistics.median(rounds)
