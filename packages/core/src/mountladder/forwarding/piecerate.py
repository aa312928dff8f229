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
MIN_CONGESTED_MS = 800.0


class PieceRate:
    """Throughput of a service's servers while pieces wait for them, in pieces per millisecond.

    It is lower than with full calls: limited result memory, data locality and the priority of begun
    stages keep calls from being full.

    Args:
        clock: The clock.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.completed: deque[tuple[float, int]] = deque()
        self.congested_since: float | None = None

    def add(self, pieces: int) -> None:
        """Record the pieces of a completed call."""
        self.completed.append((self.clock.now(), pieces))

    def set_congested(self, congested: bool) -> None:
        """Record whether pieces wait longer than until the next server is free."""
        if not congested:
            self.congested_since = None
        elif self.congested_since is None:
            self.congested_since = self.clock.now()

    def restart(self) -> None:
        """Measure anew from now on: the time before says nothing about the throughput."""
        if self.congested_since is not None:
            self.congested_since = self.clock.now()

    def measured(self) -> float | None:
        """Return the throughput in pieces per millisecond, or None without enough data."""
        now = self.clock.now()
        while self.completed and self.completed[0][0] <= now - WINDOW_MS:
            self.completed.popleft()
        if self.congested_since is None or now - self.congested_since < MIN_CONGESTED_MS:
            return None
        counted_ms = min(WINDOW_MS, now - self.congested_since)
        return sum(pieces for at, pieces in self.completed if at > now - counted_ms) / counted_ms
