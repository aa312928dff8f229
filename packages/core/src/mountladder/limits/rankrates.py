# rankrates.py -- How much work of each rank comes in
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""How much work of each rank comes in."""

from __future__ import annotations

from collections import Counter, deque

from mountladder.clocks.clock import Clock

# Long enough to hold some tens of requests, short enough to follow bursts of a few seconds.
WINDOW_MS = 1_500.0


class RankRates:
    """Counts the work that came in lately, by the rank of its request.

    Args:
        clock: The clock.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.arrivals: deque[tuple[float, int, int]] = deque()
        self.sums: Counter[int] = Counter()

    def add(self, rank: int, amount: int) -> None:
        """Record work that came in."""
        self.arrivals.append((self.clock.now(), rank, amount))
        self.sums[rank] += amount

    def above(self, rank: int) -> float:
        """Return how much work of more urgent ranks comes in, in units a millisecond."""
        horizon = self.clock.now() - WINDOW_MS
        while self.arrivals and self.arrivals[0][0] < horizon:
            _, old, amount = self.arrivals.popleft()
            self.sums[old] -= amount
        return sum(self.sums[one] for one in range(rank)) / WINDOW_MS
