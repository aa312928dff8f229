# windowbudget.py -- Retry budget over a sliding window
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Retry budget over a sliding window."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from mountladder.clocks.clock import Clock
from mountladder.limits.retrylimits import RetryLimits


class WindowBudget:
    """Allows retries as a fraction of the requests in a sliding window, plus a reserve.

    It bounds what one process adds to a service under load; see SharedRetryBudget for a limit that
    holds for all instances.

    Args:
        clock: The clock.
        limits: Returns the present limits.
    """

    def __init__(self, clock: Clock, limits: Callable[[], RetryLimits]) -> None:
        self.clock = clock
        self.limits = limits
        self.requests: deque[float] = deque()
        self.retries: deque[float] = deque()

    def earn(self) -> None:
        """Record a request that was received."""
        self.requests.append(self.clock.now())

    def spend(self) -> bool:
        """Take one retry out of the budget; return whether the budget allowed it."""
        now, limits = self.clock.now(), self.limits()
        self.expire(self.requests, now - limits.window_ms)
        self.expire(self.retries, now - limits.window_ms)
        allowed = limits.ratio * len(self.requests) + limits.reserve
        if len(self.retries) + 1 > allowed:
            return False
        self.retries.append(now)
        return True

    def expire(self, times: deque[float], start: float) -> None:
        """Drop the times before the start of the window."""
        while times and times[0] < start:
            times.popleft()
