# sharedretrybudget.py -- One instance's part of a retry budget that all instances share
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""One instance's part of a retry budget that all instances share."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from mountladder.clocks.clock import Clock
from mountladder.limits.retrylimits import RetryLimits

# A retry may reach its server this much later than it was allowed: connecting takes up to 300 ms,
# and a lost packet is retransmitted after about a second.
ARRIVAL_MS = 1_000.0
# Sums of fractions of retries are off by less than this.
ROUNDING = 1e-6


class SharedRetryBudget:
    """One instance's part of the retry budget of a service, which all instances share.

    In any window all instances together make no more retries than the reserve and a fraction of
    the requests in it, whichever of them restart or take over the callers of others meanwhile.
    They need no messages for that:

    - Each request earns a fraction of a retry, as in a token bucket of which a small part of the
      reserve is the size. A new process has nothing saved up.
    - The larger part of the reserve may be spent in each window, but only by a process that has
      run for a whole one, so that no earlier process of the instance has spent it in the same one.

    Args:
        clock: The clock.
        limits: Returns the present limits.
        started_at: When the process started, in the clock's milliseconds.

    Attributes:
        saved: The retries that are saved up from requests.
        reserved: When retries, or parts of them, were taken from the reserve, and how much.
    """

    def __init__(self, clock: Clock, limits: Callable[[], RetryLimits], started_at: float) -> None:
        self.clock = clock
        self.limits = limits
        self.started_at = started_at
        self.saved = 0.0
        self.reserved: deque[tuple[float, float]] = deque()

    def earn(self) -> None:
        """Record a request that was received."""
        limits = self.limits()
        self.saved = min(self.saved + limits.ratio, limits.max_saved)

    def take_back(self) -> None:
        """Take back what a request has earned that another instance counts."""
        self.saved = max(0.0, self.saved - self.limits().ratio)

    def allows(self) -> bool:
        """Return whether one retry may be taken out of the budget at present."""
        self.saved = min(self.saved, self.limits().max_saved)
        return self.saved + self.reserve_left() >= 1.0 - ROUNDING

    def spend(self) -> bool:
        """Take one retry out of the budget; return whether the budget allowed it."""
        if not self.allows():
            return False
        from_saved = min(self.saved, 1.0)
        self.saved -= from_saved
        if from_saved < 1.0:
            self.reserved.append((self.clock.now(), 1.0 - from_saved))
        return True

    def reserve_left(self) -> float:
        """Return how many retries may still be taken from the reserve at present."""
        now, limits = self.clock.now(), self.limits()
        window_ms = limits.window_ms + ARRIVAL_MS
        while self.reserved and self.reserved[0][0] <= now - window_ms:
            self.reserved.popleft()
        if now - self.started_at < window_ms:
            return 0.0
        return max(0.0, limits.per_window - sum(part for _, part in self.reserved))

    def inputs(self) -> dict[str, float]:
        """Return what a decision is based on at present, for the log.

        The reserve is this instance's part of it, and the age the process's, in milliseconds.
        """
        return {
            "saved": round(self.saved, 2),
            "reserve_left": round(self.reserve_left(), 2),
            "reserve": round(self.limits().reserve, 2),
            "age_ms": round(self.clock.now() - self.started_at),
        }
