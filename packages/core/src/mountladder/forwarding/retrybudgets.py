# retrybudgets.py -- Retry budgets of services
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Retry budgets of services."""

from __future__ import annotations

from collections.abc import Callable

from eliot import log_message

from mountladder.clocks.clock import Clock
from mountladder.forwarding.forwardingsettings import ForwardingSettings
from mountladder.forwarding.shareclaim import ShareClaim
from mountladder.limits.retrylimits import RetryLimits
from mountladder.limits.sharedretrybudget import SharedRetryBudget
from mountladder.limits.windowbudget import WindowBudget
from mountladder.membership.membership import Membership


class RetryBudgets:
    """Holds this instance's parts of the retry budgets of services.

    Args:
        settings: Returns the current settings.
        membership: The instances that share the budgets.
        clock: The clock.

    Attributes:
        claim: Decides whether this instance takes its part of the reserve.
        requests: The budgets for requests, by service; all instances send to it.
        pieces: The budgets for pieces of stages, by service; one instance sends to it.
    """

    def __init__(
        self, settings: Callable[[], ForwardingSettings], membership: Membership, clock: Clock
    ) -> None:
        self.settings = settings
        self.membership = membership
        self.clock = clock
        self.started_at = clock.now()
        self.claim = ShareClaim(membership, lambda: self.settings().retry_window_ms, clock)
        self.requests: dict[str, SharedRetryBudget] = {}
        self.pieces: dict[str, WindowBudget] = {}

    def of_requests(self, service: str) -> SharedRetryBudget:
        """Return the retry budget for requests to a service."""
        budget = self.requests.get(service)
        if budget is None:
            budget = SharedRetryBudget(self.clock, self.limits, self.started_at)
            self.requests[service] = budget
        return budget

    def spend(self, service: str, request: str) -> bool:
        """Take one retry of a request out of a service's budget, and log the decision.

        Args:
            service: The service.
            request: The id of the request.

        Returns:
            Whether the budget allowed it.
        """
        budget = self.of_requests(service)
        inputs = budget.inputs()
        allowed = budget.spend()
        log_message(
            "retry-budget",
            request=request,
            service=service,
            **inputs,
            outcome="allowed" if allowed else "denied",
        )
        return allowed

    def of_pieces(self, service: str) -> WindowBudget:
        """Return the retry budget for pieces of a service's stages."""
        budget = self.pieces.get(service)
        if budget is None:
            budget = self.pieces[service] = WindowBudget(self.clock, self.limits_of_pieces)
        return budget

    def limits(self) -> RetryLimits:
        """Return how many retries this instance may make for one service."""
        settings = self.settings()
        return RetryLimits(settings.retry_ratio, settings.retry_window_ms, self.reserve())

    def limits_of_pieces(self) -> RetryLimits:
        """Return how many pieces of one service's stages this instance may send again.

        Its coordinator alone sends them, so that its part need not be counted by the others yet.
        """
        settings = self.settings()
        return RetryLimits(settings.retry_ratio, settings.retry_window_ms, self.part())

    def reserve(self) -> float:
        """Return this instance's part of the common reserve, or 0 while it may not take it."""
        return self.part() if self.claim.may_take() else 0.0

    def part(self) -> float:
        """Return the part of the common reserve of retries that one instance has."""
        return self.settings().retry_reserve / self.membership.budget_sharers()
