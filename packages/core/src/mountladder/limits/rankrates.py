# rankrates.py -- Arrival rates of work by rank
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Arrival rates of work by rank."""

from __future__ import annotations

from collections import Counter, deque

from mountladder.clocks.clock import Clock

# Long enough for a few dozen requests, short enough to follow bursts of a few seconds.
WINDOW_MS = 1_500.0


class RankRates:
    """Measures the work that arrived within a sliding window, by the rank of its request.

    Args:
        clock: The clock.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.arrivals: deque[tuple[float, int, int]] = deque()
        self.amounts: Counter[int] = Counter()

    def add(self, rank: int, amount: int) -> None:
        """Record work that arrived."""
        self.arrivals.append((self.clock.now(), rank, amount))
        self.amounts[rank] += amount

    def rate_above(self, rank: int) -> float:
        """Return the arrival rate of work of more urgent ranks, in units a millisecond."""
        horizon = self.clock.now() - WINDOW_MS
        while self.arrivals and self.arrivals[0][0] < horizon:
            _, old, amount = self.arrivals.popleft()
            self.amounts[old] -= amount
        return sum(self.amounts[one] for one in range(rank)) / WINDOW_MS
