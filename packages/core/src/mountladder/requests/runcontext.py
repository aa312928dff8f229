# runcontext.py -- What every run of a pipeline shares on one instance
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""What every run of a pipeline shares on one instance."""

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
    """What the runs on one instance share.

    Attributes:
        clock: The clock.
        rng: The source of jitter.
        follower: The configuration in force.
        router: Chooses servers.
        backend: Calls servers.
        costs: The learnt times of stages.
        ledger: Where cost is charged.
        metrics: Where metrics go.
        quarantine: Knows under which requests servers end.
        budgets: The retry budgets by pipeline and stage.
    """

    clock: Clock
    rng: random.Random
    follower: Follower
    router: Router
    backend: Backend
    costs: CostModel
    ledger: Ledger
    metrics: Metrics
    quarantine: QuarantineService
    budgets: dict[str, RetryBudget] = field(default_factory=lambda: defaultdict(RetryBudget))
