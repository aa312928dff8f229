# storeread.py -- Shares reads of a table between the requests that need it
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Shares reads of a table between the requests that need it."""

from __future__ import annotations

from collections.abc import Callable

import gevent
from gevent.event import Event

from mountladder.clocks.clock import Clock

# The least time between two reads.
MIN_INTERVAL_MS = 50.0
# How long a request waits for a read, besides the time until it may begin. The store answers in
# about 4 ms, and in 320 ms while it is slow.
WAIT_MS = 400.0


class StoreRead:
    """Reads tables of the platform's store for the requests that need it, one read at a time.

    Args:
        read: Reads the tables, and returns whether the store answered.
        clock: The clock.
        interval_ms: Returns the least time between two reads, in milliseconds.

    Attributes:
        begun_at: When the last read began.
        ended_from: When the last read that has ended began.
        answered_from: When the last read that the store answered began.
        is_running: Whether a read is in progress, or waits until it may begin.
        ended: Set once that read has ended.
    """

    def __init__(
        self,
        read: Callable[[], bool],
        clock: Clock,
        interval_ms: Callable[[], float] = lambda: MIN_INTERVAL_MS,
    ) -> None:
        self.read = read
        self.clock = clock
        self.interval_ms = interval_ms
        self.begun_at = self.ended_from = self.answered_from = float("-inf")
        self.is_running = False
        self.ended = Event()

    def refresh(self, since: float) -> bool:
        """Return whether the store has answered a read that began at a time or later.

        Makes a read unless there was one, and waits for it. One that failed is not repeated.

        Args:
            since: The time, in the clock's milliseconds.
        """
        until = self.clock.now() + self.interval_ms() + WAIT_MS
        while self.ended_from < since and self.clock.now() < until:
            if not self.is_running:
                self.is_running = True
                gevent.spawn(self.run)
            self.clock.wait(self.ended, until - self.clock.now())
        return self.answered_from >= since

    def run(self) -> None:
        """Read the tables once it is time, and wake the requests that wait for it."""
        try:
            self.clock.sleep(max(0.0, self.begun_at + self.interval_ms() - self.clock.now()))
            self.begun_at = self.clock.now()
            if self.read():
                self.answered_from = self.begun_at
        finally:
            self.is_running, self.ended_from = False, self.begun_at
            ended, self.ended = self.ended, Event()
            ended.set()
