# memoryguard.py -- Keeps the bytes that an instance holds for others within its memory
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Keeps the bytes that an instance holds for others within its memory."""

from __future__ import annotations

import math
from collections.abc import Callable

from eliot import log_message

from mountladder.clocks.clock import Clock
from mountladder.code import Code
from mountladder.errors import RefusalError
from mountladder.forwarding.forwardingsettings import ForwardingSettings
from mountladder.memory.memoryaccount import (
    SLOW_READER_MS,
    UNBOUNDED_READER_MS,
    MemoryAccount,
)
from mountladder.memory.memorybudget import MemoryBudget
from mountladder.memory.memorypolicy import MemoryPolicy
from mountladder.metrics.metric import Metric
from mountladder.metrics.metrics import Metrics

# How often the rate of releases and the gauge are updated, in milliseconds: a fraction of the least
# time after which a refused caller returns.
UPDATE_MS = 500.0
# The weight of the last interval in the rate of releases, which then covers about two seconds.
RATE_WEIGHT = 0.25


class MemoryGuard:
    """Refuses requests and ends connections by MemoryPolicy, while the memory is limited.

    Args:
        account: Counts the bytes held.
        settings: Returns the settings in force.
        clock: The clock.
        metrics: Receives metrics.

    Attributes:
        rest_bytes: The memory that the process uses at rest, or None while it is not measured.
        released_per_ms: The mean rate at which bytes were released lately.
    """

    def __init__(
        self,
        account: MemoryAccount,
        settings: Callable[[], ForwardingSettings],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.account = account
        self.settings = settings
        self.clock = clock
        self.metrics = metrics
        self.policy = MemoryPolicy()
        self.rest_bytes: float | None = None
        self.released_per_ms = 0.0
        self.released_before = 0
        self.is_scheduled = False
        account.on_above = self.schedule

    def budget(self) -> MemoryBudget | None:
        """Return the budget in force, or None if nothing is limited."""
        settings = self.settings()
        if not settings.bound_memory or not settings.memory_mb or self.rest_bytes is None:
            return None
        return MemoryBudget.of(settings.memory_mb, self.rest_bytes)

    def start(self, rest_bytes: float) -> None:
        """Limit the bytes held from now on, given what the process uses at rest."""
        self.rest_bytes = rest_bytes
        self.apply()
        budget = self.budget()
        log_message(
            "memory-budget",
            memory_mb=self.settings().memory_mb,
            rest_bytes=rest_bytes,
            budget_bytes=round(budget.bytes) if budget else None,
        )

    def apply(self) -> None:
        """Apply the settings in force to the account."""
        budget = self.budget()
        self.account.notify_above = budget.cut_above if budget else math.inf
        bound = self.settings().bound_memory
        self.account.slow_reader_ms = SLOW_READER_MS if bound else UNBOUNDED_READER_MS

    def check(self) -> None:
        """Check whether a new request may be taken.

        Raises:
            RefusalError: Too many bytes are held.
        """
        held, budget = self.account.held, self.budget()
        if budget is None or not self.policy.refuses(held, budget):
            return
        raise RefusalError(
            f"{held} bytes are held of {round(budget.bytes)}, "
            f"{self.released_per_ms:.1f} released per ms",
            Code.MEMORY_FULL,
            retry_after_ms=self.policy.retry_after_ms(held, budget, self.released_per_ms),
        )

    def schedule(self) -> None:
        """Have connections ended after the current step, in which bytes were added."""
        if not self.is_scheduled:
            self.is_scheduled = True
            self.clock.call_later(0.0, self.relieve)

    def relieve(self) -> None:
        """End connections until the bytes held fit into the budget."""
        self.is_scheduled = False
        budget = self.budget()
        if budget is None:
            return
        held = self.account.held - self.account.held_by_cut()
        for share in self.policy.cuts(held, self.account.shares(), budget):
            self.account.cut(
                share.holder,
                "memory",
                stalled_ms=round(share.stalled_ms),
                budget_bytes=round(budget.bytes),
            )

    def run(self) -> None:
        """Update the rate of releases, the gauge and the limit periodically."""
        while True:
            self.clock.sleep(UPDATE_MS)
            self.update()

    def update(self) -> None:
        """Update the rate of releases, the gauge and the limit, and end connections if needed."""
        released = self.account.released - self.released_before
        self.released_before = self.account.released
        self.released_per_ms += RATE_WEIGHT * (released / UPDATE_MS - self.released_per_ms)
        self.metrics.gauge(Metric.HELD_BYTES, self.account.held)
        self.apply()
        if self.account.held > self.account.notify_above:
            self.relieve()
