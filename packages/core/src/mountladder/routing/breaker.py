# breaker.py -- A circuit breaker
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A circuit breaker."""

from __future__ import annotations

import random

FIRST_PAUSE_MS = 1_000.0
LONGEST_PAUSE_MS = 30_000.0
FAILURES_TO_OPEN = 3


class Breaker:
    """Takes a backend server out of use after failures, and lets single calls try it again.

    Args:
        rng: The source of jitter.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.failures = 0
        self.pause_ms = FIRST_PAUSE_MS
        self.open_until = 0.0
        self.trying = False

    def allows(self, now: float) -> bool:
        """Tell whether a call may be sent at a time."""
        if self.failures < FAILURES_TO_OPEN:
            return True
        return now >= self.open_until and not self.trying

    def begin(self) -> None:
        """Record that a call is sent."""
        self.trying = self.failures >= FAILURES_TO_OPEN

    def succeed(self) -> None:
        """Record a success, which closes the breaker."""
        self.failures = 0
        self.pause_ms = FIRST_PAUSE_MS
        self.trying = False

    def abandon(self) -> None:
        """Record a call that ended without telling anything about the server."""
        self.trying = False

    def fail(self, now: float) -> bool:
        """Record a failure; tell whether it opened the breaker anew."""
        self.failures += 1
        self.trying = False
        if self.failures < FAILURES_TO_OPEN:
            return False
        self.open_until = now + self.pause_ms * self.rng.uniform(0.8, 1.2)
        self.pause_ms = min(LONGEST_PAUSE_MS, self.pause_ms * 2)
        return True

    def trip(self, now: float) -> None:
        """Record a failure that takes the server out of use at once, such as silence."""
        self.failures = max(self.failures, FAILURES_TO_OPEN - 1)
        self.fail(now)
