# serverroom.py -- How many requests a fragile backend server has room for
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""How many requests a fragile backend server has room for."""

from __future__ import annotations

from collections import deque

SECOND_MS = 1_000.0
# A server that has rejected nothing for this long is tried with one more request in progress.
GROWTH_MS = 1_000.0
# A server rejects requests although it has free slots if more are in progress than are known of,
# for example those that were sent before it was fragile. It is never taken to have less room than
# this fraction of its slots.
MIN_ROOM_FRACTION = 0.5


class ServerRoom:
    """How many requests a backend server has room for, learned from what it rejects.

    Args:
        slots: The number of requests that it runs at once, assumed to fit at first.
        now: The clock's time, in milliseconds.

    Attributes:
        requests: How many requests may be in progress there at present.
        rejected_at: When it rejected requests within the last second.
    """

    def __init__(self, slots: int, now: float) -> None:
        self.slots = max(1, slots)
        self.requests = self.slots
        self.grown_at = now
        self.rejected_at: deque[float] = deque()

    def record_rejected(self, running: int, now: float) -> None:
        """Record a rejection, given the number of requests that are in progress there."""
        self.rejected_at.append(now)
        min_requests = max(1, round(MIN_ROOM_FRACTION * self.slots))
        self.requests = max(min_requests, min(self.requests, running))
        self.grown_at = now

    def rejections(self, now: float) -> int:
        """Return the number of requests that it rejected within the last second."""
        while self.rejected_at and self.rejected_at[0] <= now - SECOND_MS:
            self.rejected_at.popleft()
        return len(self.rejected_at)

    def accepts(self, running: int, now: float) -> bool:
        """Return whether it has room for one more request than are in progress there."""
        if running >= self.requests and self.requests < self.slots:
            self.grow(now)
        return running < self.requests

    def grow(self, now: float) -> None:
        """Allow one more request at a time if nothing was rejected for a while."""
        if now - self.grown_at >= GROWTH_MS:
            self.requests += 1
            self.grown_at = now
