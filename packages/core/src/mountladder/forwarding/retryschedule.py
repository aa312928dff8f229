# retryschedule.py -- Retry times for requests that rate-limited servers cannot accept
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Retry times for requests that rate-limited servers cannot accept."""

from __future__ import annotations

from mountladder.clocks.timer import MS_PER_SECOND

# For this long after a request was rejected, less urgent ones leave limited capacity to others.
YIELD_MS = 1_000.0
# The minimum retry delay; opening a connection may take longer than a smaller one.
MIN_RETRY_DELAY_MS = 20.0
# Retry times are assigned at most this far ahead, since few callers wait longer.
MAX_RETRY_DELAY_MS = 10_000.0


class RetrySchedule:
    """Assigns retry times to requests rejected by a service whose servers all limit their rate.

    The less urgent requests are rejected first. Rejected callers retry one after the other, at the
    rate of the servers, instead of competing for the same slot at once.

    Attributes:
        rejected_at: When a request of each priority was last rejected.
        next_retry_at: The next free retry time; all capacity before it is assigned.
    """

    def __init__(self) -> None:
        self.rejected_at: dict[int, float] = {}
        self.next_retry_at = 0.0

    def must_yield(self, urgency: int, now: float) -> bool:
        """Return whether a request must leave its slot to more urgent ones."""
        return any(rank < urgency and now - at < YIELD_MS for rank, at in self.rejected_at.items())

    def add(self, urgency: int, wait_ms: float, per_s: float, now: float) -> float:
        """Record a rejected request and return its retry delay, in milliseconds.

        Args:
            urgency: The request's priority; 0 is the most urgent.
            wait_ms: How long until a server accepts another request, in milliseconds.
            per_s: How many requests per second all servers together accept.
            now: The current time, in the clock's milliseconds.
        """
        self.rejected_at[urgency] = now
        retry_at = max(now + max(wait_ms, MIN_RETRY_DELAY_MS), self.next_retry_at)
        self.next_retry_at = min(retry_at + MS_PER_SECOND / per_s, now + MAX_RETRY_DELAY_MS)
        return retry_at - now
