# piecerate.py -- How fast the servers of a stage service really work
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""How fast the servers of a stage service really work."""

from __future__ import annotations

from collections import deque

from mountladder.clocks.clock import Clock

# Over which time pieces are counted: some seven full calls.
WINDOW_MS = 2_000.0
# A rate is told only after pieces have waited for so long that several calls are counted.
LEAST_MS = 800.0


class PieceRate:
    """How many pieces a millisecond the servers of a service make while pieces wait for them.

    Room for results, far servers and stages that are begun keep calls from being full, so that
    this is less than what the servers could make.

    Args:
        clock: The clock.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.made: deque[tuple[float, int]] = deque()
        self.crowded_since: float | None = None

    def add(self, pieces: int) -> None:
        """Record that a call made some pieces."""
        self.made.append((self.clock.now(), pieces))

    def watch(self, crowded: bool) -> None:
        """Record whether pieces wait for longer than for the next free server."""
        if not crowded:
            self.crowded_since = None
        elif self.crowded_since is None:
            self.crowded_since = self.clock.now()

    def measured(self) -> float | None:
        """Return the rate while pieces wait, in pieces a millisecond; None where none is known."""
        now = self.clock.now()
        while self.made and self.made[0][0] <= now - WINDOW_MS:
            self.made.popleft()
        if self.crowded_since is None or now - self.crowded_since < LEAST_MS:
            return None
        counted_ms = min(WINDOW_MS, now - self.crowded_since)
        return sum(pieces for at, pieces in self.made if at > now - counted_ms) / counted_ms
