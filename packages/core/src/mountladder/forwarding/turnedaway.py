# turnedaway.py -- Retry times for requests that rate-limited servers cannot accept
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Retry times for requests that rate-limited servers cannot accept."""

from __future__ import annotations

from mountladder.clocks.timer import MS_PER_SECOND

# For this long after a request was rejected, less urgent ones leave limited capacity to others.
GIVES_WAY_MS = 1_000.0
# The minimum retry delay; opening a connection may take longer than a smaller one.
LEAST_BACK_MS = 20.0
# Retry times are assigned at most this far ahead, since few callers wait longer.
FARTHEST_MS = 10_000.0


class TurnedAway:
    """Assigns retry times to requests rejected by a service whose servers all limit their rate.

    The less urgent requests are rejected first. Rejected callers retry one after the other, at the
    rate of the servers, instead of competing for the same slot at once.

    Attributes:
        last: When a request of each priority was last rejected.
        back_at: The next free retry time; earlier capacity is assigned to callers that retry.
    """

    def __init__(self) -> None:
        self.last: dict[int, float] = {}
        self.back_at = 0.0

    def gives_way(self, urgency: int, now: float) -> bool:
        """Return whether a request must leave its slot to more urgent ones."""
        return any(rank < urgency and now - at < GIVES_WAY_MS for rank, at in self.last.items())

    def add(self, urgency: int, wait_ms: float, per_s: float, now: float) -> float:
        """Record a rejected request and return its retry delay, in milliseconds.

        Args:
            urgency: The request's priority; 0 is the most urgent.
            wait_ms: How long until a server accepts another request, in milliseconds.
            per_s: How many requests per second all servers together accept.
            now: The current time, in the clock's milliseconds.
        """
        self.last[urgency] = now
        first = max(now + max(wait_ms, LEAST_BACK_MS), self.back_at)
        self.back_at = min(first + MS_PER_SECOND / per_s, now + FARTHEST_MS)
        return first - now
