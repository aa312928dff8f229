# breaker.py -- Circuit breaker of a backend server
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Circuit breaker of a backend server."""

from __future__ import annotations

import random

INITIAL_OPEN_MS = 1_000.0
MAX_OPEN_MS = 30_000.0
FAILURES_TO_OPEN = 3


class Breaker:
    """Ejects a backend server after consecutive failures, then lets single calls probe it.

    The open period doubles with each failed probe, up to a maximum.

    Args:
        rng: The source of jitter, which keeps instances from probing at the same moment.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.failures = 0
        self.open_ms = INITIAL_OPEN_MS
        self.open_until = 0.0
        self.probing = False

    def allows(self, now: float) -> bool:
        """Return whether a call may be sent at a time."""
        if self.failures < FAILURES_TO_OPEN:
            return True
        return now >= self.open_until and not self.probing

    def begin(self) -> None:
        """Record that a call is sent; it is a probe where the breaker has opened."""
        self.probing = self.failures >= FAILURES_TO_OPEN

    def succeed(self) -> None:
        """Record a success, which closes the breaker and resets the open period."""
        self.failures = 0
        self.open_ms = INITIAL_OPEN_MS
        self.probing = False

    def abandon(self) -> None:
        """Record the end of a call whose outcome says nothing about the server's health."""
        self.probing = False

    def fail(self, now: float) -> bool:
        """Record a failure; return whether it opened the breaker."""
        self.failures += 1
        self.probing = False
        if self.failures < FAILURES_TO_OPEN:
            return False
        self.open_until = now + self.open_ms * self.rng.uniform(0.8, 1.2)
        self.open_ms = min(MAX_OPEN_MS, self.open_ms * 2)
        return True

    def trip(self, now: float) -> None:
        """Record a failure that opens the breaker at once, such as a failed connection."""
        self.failures = max(self.failures, FAILURES_TO_OPEN - 1)
        self.fail(now)
