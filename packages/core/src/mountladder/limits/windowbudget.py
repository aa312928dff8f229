# windowbudget.py -- Retry budget over a sliding window, shared by instances
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Retry budget over a sliding window, shared by instances."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from mountladder.clocks.clock import Clock
from mountladder.limits.retrylimits import RetryLimits


class WindowBudget:
    """Allows retries as a fraction of the requests in a sliding window, plus a shared reserve.

    Each instance counts only its own requests and spends only its part of the reserve, so that
    all together stay within the common limit without exchanging messages.

    Args:
        clock: The clock.
        limits: Returns the present limits.
    """

    def __init__(self, clock: Clock, limits: Callable[[], RetryLimits]) -> None:
        self.clock = clock
        self.limits = limits
        self.started_at = clock.now()
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

    def inputs(self) -> dict[str, float]:
        """Return what a decision is based on at present, for the log.

        The reserve is this instance's part of it, and the age that of these counts, in ms.
        """
        return {
            "requests": len(self.requests),
            "retries": len(self.retries),
            "reserve": round(self.limits().reserve, 2),
            "age_ms": round(self.clock.now() - self.started_at),
        }

    def expire(self, times: deque[float], start: float) -> None:
        """Drop the times before the start of the window."""
        while times and times[0] < start:
            times.popleft()
