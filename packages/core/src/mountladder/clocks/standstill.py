# standstill.py -- Detects that this process stood still
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Detects that this process stood still."""

from __future__ import annotations

from eliot import log_message

from mountladder.clocks.clock import Clock

TICK_MS = 200.0
# A task that is ready may wait for its turn for a while without a standstill.
MIN_MS = 500.0
# Within this time after a standstill everything is read that waited in the sockets.
SETTLE_MS = 500.0


class Standstill:
    """Detects that this process stood still, since it or its machine was stopped for a while.

    What others have sent meanwhile waits in its sockets. It is read as if it had just been sent,
    in part before any timer of this process runs.

    Args:
        clock: The clock.

    Attributes:
        ticked_at: When this process was last known to run.
        since: Since when it stood still the last time.
        settled_at: When everything that waited then has been read.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.ticked_at = clock.now()
        self.since = self.settled_at = float("-inf")

    def run(self) -> None:
        """Check again and again whether this process stood still, forever."""
        self.ticked_at = self.clock.now()
        while True:
            self.clock.sleep(TICK_MS)
            self.tick()

    def tick(self) -> None:
        """Note that this process runs, and whether it stood still until now."""
        now = self.clock.now()
        if now - self.ticked_at >= MIN_MS:
            self.since, self.settled_at = self.ticked_at, now + SETTLE_MS
            log_message("process-stood-still", ms=round(now - self.ticked_at))
        self.ticked_at = now

    def sent_after(self) -> float:
        """Return the time after which what is read now arrived, in the clock's milliseconds."""
        now = self.clock.now()
        if now - self.ticked_at >= MIN_MS:
            return self.ticked_at
        return self.since if now < self.settled_at else now
