# piecerate.py -- Measures the throughput of a stage service while pieces wait
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Measures the throughput of a stage service while pieces wait."""

from __future__ import annotations

from collections import deque

from mountladder.clocks.clock import Clock

# Time over which pieces are counted: about seven full calls.
WINDOW_MS = 2_000.0
# A rate is reported only once pieces have waited this long, so that several calls are counted.
LEAST_MS = 800.0


class PieceRate:
    """Throughput of a service's servers while pieces wait for them, in pieces per millisecond.

    It is lower than with full calls: limited result memory, data locality and the priority of begun
    stages keep calls from being full.

    Args:
        clock: The clock.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.made: deque[tuple[float, int]] = deque()
        self.crowded_since: float | None = None

    def add(self, pieces: int) -> None:
        """Record the pieces of a completed call."""
        self.made.append((self.clock.now(), pieces))

    def watch(self, crowded: bool) -> None:
        """Record whether pieces wait longer than until the next server is free."""
        if not crowded:
            self.crowded_since = None
        elif self.crowded_since is None:
            self.crowded_since = self.clock.now()

    def measured(self) -> float | None:
        """Return the throughput in pieces per millisecond, or None without enough data."""
        now = self.clock.now()
        while self.made and self.made[0][0] <= now - WINDOW_MS:
            self.made.popleft()
        if self.crowded_since is None or now - self.crowded_since < LEAST_MS:
            return None
        counted_ms = min(WINDOW_MS, now - self.crowded_since)
        return sum(pieces for at, pieces in self.made if at > now - counted_ms) / counted_ms
