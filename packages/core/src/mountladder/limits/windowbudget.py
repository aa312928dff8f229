# windowbudget.py -- Retry budget over a sliding window, shared by instances
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Retry budget over a sliding window, shared by instances."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from mountladder.clocks.clock import Clock


class WindowBudget:
    """Allows retries as a fraction of the requests in a sliding window, plus a shared reserve.

    Each instance counts only its own requests and spends only its part of the reserve, so that
    all together stay within the common limit without exchanging messages.

    Args:
        clock: The clock.
        ratio: The number of retries that each request in the window allows.
        window_ms: The length of the window, in milliseconds.
        reserve: Returns this instance's present part of the reserve.
    """

    def __init__(
        self, clock: Clock, ratio: float, window_ms: float, reserve: Callable[[], float]
    ) -> None:
        self.clock = clock
        self.ratio = ratio
        self.window_ms = window_ms
        self.reserve = reserve
        self.started_at = clock.now()
        self.requests: deque[float] = deque()
        self.retries: deque[float] = deque()

    def earn(self) -> None:
        """Record a request that was received."""
        self.requests.append(self.clock.now())

    def spend(self) -> bool:
        """Take one retry out of the budget; return whether the budget allowed it."""
        now = self.clock.now()
        self.expire(self.requests, now)
        self.expire(self.retries, now)
        allowed = self.ratio * len(self.requests) + self.reserve()
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
            "reserve": round(self.reserve(), 2),
            "age_ms": round(self.clock.now() - self.started_at),
        }

    def expire(self, times: deque[float], now: float) -> None:
        """Drop times that are older than the window."""
        while times and times[0] < now - self.window_ms:
            times.popleft()
