# retrybudgets.py -- The retry budget of each service
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The retry budget of each service."""

from __future__ import annotations

from collections.abc import Callable

from mountladder.clocks.clock import Clock
from mountladder.forwarding.forwardingsettings import ForwardingSettings
from mountladder.limits.windowbudget import WindowBudget
from mountladder.membership.membership import Membership


class RetryBudgets:
    """Holds this instance's part of the retry budget that all share, for each service.

    Args:
        settings: Returns the settings in force.
        membership: Who shares the budget.
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
            settings = self.settings()
            budget = self.budgets[service] = WindowBudget(
                self.clock, settings.retry_ratio, settings.retry_window_ms, self.reserve
            )
        return budget

    def reserve(self) -> float:
        """Return this instance's part of the common reserve of retries."""
        return self.settings().retry_reserve / self.membership.budget_sharers()

    def renew(self) -> None:
        """Make all budgets anew, after the settings have changed."""
        self.budgets.clear()
