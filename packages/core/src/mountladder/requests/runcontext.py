# runcontext.py -- Components shared by all pipeline runs of an instance
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Components shared by all pipeline runs of an instance."""

from __future__ import annotations

import random
from collections import defaultdict
from dataclasses import dataclass, field

from mountladder.accounts.ledger import Ledger
from mountladder.clocks.clock import Clock
from mountladder.configuration.follower import Follower
from mountladder.limits.retrybudget import RetryBudget
from mountladder.metrics.metrics import Metrics
from mountladder.quarantine.quarantineservice import QuarantineService
from mountladder.requests.backend import Backend
from mountladder.routing.costmodel import CostModel
from mountladder.routing.router import Router


@dataclass(frozen=True, slots=True)
class RunContext:
    """Components shared by all pipeline runs of an instance.

    Attributes:
        clock: The clock.
        rng: The source of jitter.
        follower: The configuration in force.
        router: Chooses servers.
        backend: Calls servers.
        cost_model: The learned durations of stages.
        ledger: Accumulates cost.
        metrics: Receives the metrics.
        quarantine: Bars requests that crash servers.
        budgets: The retry budgets by pipeline and stage.
    """

    clock: Clock
    rng: random.Random
    follower: Follower
    router: Router
    backend: Backend
    cost_model: CostModel
    ledger: Ledger
    metrics: Metrics
    quarantine: QuarantineService
    budgets: dict[str, RetryBudget] = field(default_factory=lambda: defaultdict(RetryBudget))
