# breaker.py -- Circuit breaker of a backend server
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Circuit breaker of a backend server."""

from __future__ import annotations

import math
import random

INITIAL_OPEN_MS = 1_000.0
MAX_OPEN_MS = 30_000.0
FAILURES_TO_OPEN = 3
# A sound server may be silent for a second or so and go on. Until it has been silent for longer, it
# is probed often, so that it is in use again soon after.
SUSPECT_MS = 2_500.0
SUSPECT_OPEN_MS = 400.0


class Breaker:
    """Ejects a backend server after consecutive failures, then lets single calls probe it.

    The open period doubles with each failed probe, up to a maximum. A failure of a call that was
    sent before the breaker opened is no new evidence, and changes nothing.

    Args:
        rng: The source of jitter, which keeps instances from probing at the same moment.

    Attributes:
        failures: The number of consecutive failures.
        open_ms: The next open period.
        open_until: Until when it is open.
        opened_at: When it opened last.
        probing: Whether a call probes the server.
        failing_since: When the first call of the consecutive failures was sent.
        is_silent: Whether all of these ended since the server was silent.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.failures = 0
        self.open_ms = INITIAL_OPEN_MS
        self.open_until = 0.0
        self.opened_at = -math.inf
        self.probing = False
        self.failing_since = 0.0
        self.is_silent = False

    @property
    def is_open(self) -> bool:
        """Return whether it has opened and no call has succeeded since."""
        return self.failures >= FAILURES_TO_OPEN

    def allows(self, now: float) -> bool:
        """Return whether a call may be sent at a time."""
        if not self.is_open:
            return True
        return now >= self.open_until and not self.probing

    def begin(self) -> None:
        """Record that a call is sent; it is a probe where the breaker has opened."""
        self.probing = self.is_open

    def succeed(self) -> None:
        """Record a success, which closes the breaker and resets the open period."""
        self.failures = 0
        self.open_ms = INITIAL_OPEN_MS
        self.probing = False
        self.is_silent = False

    def abandon(self) -> None:
        """Record the end of a call whose outcome says nothing about the server's health."""
        self.probing = False

    def allow_probe(self, now: float) -> None:
        """Let a call probe the server from now on, since it accepts connections."""
        self.open_until = min(self.open_until, now)

    def heard(self) -> None:
        """Record that the server has sent something, which ends its silence."""
        if self.is_silent:
            self.succeed()

    def is_suspect(self, now: float) -> bool:
        """Return whether the server may just be silent for a moment, and nothing else is wrong."""
        return self.is_silent and now - self.failing_since <= SUSPECT_MS

    def fail(
        self,
        now: float,
        sent_at: float | None = None,
        is_silent: bool = False,
        at_once: bool = False,
    ) -> bool:
        """Record a failure; return whether it opened the breaker.

        Args:
            now: The clock's time.
            sent_at: When the call was sent, or None for now.
            is_silent: Whether the call ended only since the server was silent.
            at_once: Whether the first failure opens it.
        """
        sent_at = now if sent_at is None else sent_at
        if sent_at < self.opened_at:
            return False
        if not self.failures:
            self.failing_since, self.is_silent = sent_at, is_silent
        self.is_silent = self.is_silent and is_silent
        self.failures = max(self.failures + 1, FAILURES_TO_OPEN if at_once else 0)
        self.probing = False
        if not self.is_open:
            return False
        self.opened_at = now
        if self.is_suspect(now):
            self.open_until = now + SUSPECT_OPEN_MS * self.rng.uniform(0.8, 1.2)
            self.open_ms = 2 * INITIAL_OPEN_MS
        else:
            self.open_until = now + self.open_ms * self.rng.uniform(0.8, 1.2)
            self.open_ms = min(MAX_OPEN_MS, self.open_ms * 2)
        return True

    def trip(self, now: float, sent_at: float | None = None, is_silent: bool = False) -> bool:
        """Record a failure that opens the breaker at once, as of a connection; see fail."""
        return self.fail(now, sent_at, is_silent, at_once=True)
