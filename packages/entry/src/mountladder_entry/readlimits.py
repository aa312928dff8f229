# readlimits.py -- Limits on what a step reads from a connection
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Limits on what a step reads from a connection."""

from __future__ import annotations

from mountladder.clocks.clock import Clock
from mountladder_entry.toomuchreaderror import TooMuchReadError

# A task pauses after so much work, so that a server which sends without end leaves most of the time
# to other tasks. A full buffer of small parts costs hundreds of steps of the parser.
TURN_WORK = 64
FULL_BUFFER_WORK = 32
PAUSE_MS = 1.0


class ReadLimits:
    """Limits on what a step reads, over all its reads, such as the head of an answer.

    Args:
        clock: The clock.

    Attributes:
        until: The time limit, in the clock's milliseconds.
        remaining_bytes: How many bytes may still be read.
        work: The work since the last pause, in reads of parts.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.until = 0.0
        self.remaining_bytes = 0
        self.work = 0

    def set(self, limit_ms: float, max_bytes: int) -> None:
        """Set the limits of the next step, in milliseconds and bytes."""
        self.until = self.clock.now() + limit_ms
        self.remaining_bytes = max_bytes

    def remaining_ms(self) -> float:
        """Return the remaining time in milliseconds.

        Raises:
            TimeoutError: No time remains.
        """
        remaining_ms = self.until - self.clock.now()
        if remaining_ms <= 0:
            raise TimeoutError("timed out")
        return remaining_ms

    def begin_read(self) -> None:
        """Check that more may be read.

        Raises:
            TooMuchReadError: The step has read as much as it may.
        """
        if self.remaining_bytes <= 0:
            raise TooMuchReadError("more was sent than may be read")

    def end_read(self, size: int, is_full: bool) -> None:
        """Count bytes that were read, and pause if other tasks are to have their turn.

        Args:
            size: The number of bytes.
            is_full: Whether more is likely to be there.

        Raises:
            TimeoutError: No time remains.
        """
        self.remaining_bytes -= size
        if is_full:
            self.spend(FULL_BUFFER_WORK)
        else:
            self.work = 0

    def spend(self, work: int = 1) -> None:
        """Count work, and pause if other tasks are to have their turn.

        Raises:
            TimeoutError: No time remains.
        """
        self.work += work
        if self.work >= TURN_WORK:
            self.work = 0
            self.clock.sleep(PAUSE_MS)
            self.remaining_ms()
