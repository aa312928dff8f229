# retrybudgets.py -- Retry budgets of services
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Retry budgets of services."""

from __future__ import annotations

from collections.abc import Callable

from mountladder.clocks.clock import Clock
from mountladder.forwarding.forwardingsettings import ForwardingSettings
from mountladder.limits.retrylimits import RetryLimits
from mountladder.limits.windowbudget import WindowBudget
from mountladder.membership.membership import Membership


class RetryBudgets:
    """Holds this instance's share of each service's retry budget.

    Args:
        settings: Returns the current settings.
        membership: The instances that share the budget.
        clock: The clock.
    """

    def __init__(
        self, settings: Callable[[], ForwardingSettings], membership: Membership, clock: Clock
    ) -> None:
        self.settings = settings
        self.membership = membership
        self.clock = clock
        self.budgets: dict[str, WindowBudget] = {}

    def of(self, service: str) -> WindowBudget:
        """Return the retry budget of a service."""
        budget = self.budgets.get(service)
        if budget is None:
            budget = self.budgets[service] = WindowBudget(self.clock, self.limits)
        return budget

    def limits(self) -> RetryLimits:
        """Return how many retries this instance may make for one service."""
        settings = self.settings()
        return RetryLimits(settings.retry_ratio, settings.retry_window_ms, self.reserve())

    def reserve(self) -> float:
        """Return this instance's share of the common reserve of retries."""
        return self.settings().retry_reserve / self.membership.budget_sharers()
