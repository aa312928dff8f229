# callerreadlimits.py -- Limits on what a step reads from a caller
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Limits on what a step reads from a caller."""

from __future__ import annotations

from mountladder.clocks.clock import Clock
from mountladder_entry.readlimits import ReadLimits

# A task that has worked on what one caller sends for so long pauses for as long, so that a caller
# which sends without end takes at most half of the time. Sound bodies take less.
TURN_MS = 1.0
MAX_PAUSE_MS = 50.0


class CallerReadLimits(ReadLimits):
    """Limits on what a step reads from a caller, such as the head or the body of a request.

    The web server's parser reads small parts without a call that could count them, so that time is
    counted instead.

    Args:
        clock: The clock.

    Attributes:
        busy_ms: The time between reads since the last pause, in milliseconds.
        read_at: When the last read ended.
    """

    def __init__(self, clock: Clock) -> None:
        super().__init__(clock)
        self.busy_ms = 0.0
        self.read_at = clock.now()

    def set(self, limit_ms: float, max_bytes: int) -> None:
        """Set the limits of the next step; see ReadLimits."""
        super().set(limit_ms, max_bytes)
        self.read_at = self.clock.now()

    def begin_read(self) -> None:
        """Check that more may be read; see ReadLimits."""
        super().begin_read()
        self.busy_ms += self.clock.now() - self.read_at

    def end_read(self, size: int, is_full: bool) -> None:
        """Count bytes that were read, and pause for as long as was worked; see ReadLimits."""
        self.remaining_bytes -= size
        if not is_full:
            self.busy_ms = 0.0
        elif self.busy_ms >= TURN_MS:
            self.clock.sleep(min(self.busy_ms, MAX_PAUSE_MS))
            self.busy_ms = 0.0
        self.read_at = self.clock.now()
