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
# How long a request waits, besides the time until a read may begin: for a read in progress and for
# the next one. The store answers in about 4 ms, and in 320 ms while it is slow.
WAIT_MS = 700.0
# For how long after a read that failed requests are told so at once.
FAILED_MS = 500.0


class StoreRead:
    """Reads tables of the platform's store for the requests that need it, one read at a time.

    Args:
        read: Reads the tables, and returns whether the store answered.
        clock: The clock.
        interval_ms: Returns the least time between two reads, in milliseconds.

    Attributes:
        begun_at: When the last read began.
        last_ended_begun_at: When the last read that has ended began.
        last_answered_begun_at: When the last read that the store answered began.
        took_ms: How long the last read that has ended took.
        failed_at: When a read last ended without an answer.
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
        self.begun_at = self.last_ended_begun_at = self.last_answered_begun_at = float("-inf")
        self.took_ms = 0.0
        self.failed_at = float("-inf")
        self.is_running = False
        self.ended = Event()

    def refresh(self, since: float, wait_ms: float | None = None) -> bool:
        """Return whether the store has answered a read that began at a time or later.

        Makes a read unless there was one, and waits for it. A failed read is not repeated for this
        request, nor for those that come shortly after.

        Args:
            since: The time, in the clock's milliseconds.
            wait_ms: For how long to wait at most, or not at all for a read that is not expected to
                end by then; None for as long as such a read may take.
        """
        is_patient = wait_ms is None
        if is_patient:
            wait_ms = self.interval_ms() + WAIT_MS
        until = self.clock.now() + wait_ms
        while self.last_ended_begun_at < since and self.clock.now() < until:
            if self.clock.now() - self.failed_at < FAILED_MS:
                return False
            if not self.is_running:
                self.is_running = True
                gevent.spawn(self.run)
            if not is_patient and self.expected_end(since) > until:
                break
            self.clock.wait(self.ended, until - self.clock.now())
        return self.has_answered(since)

    def expected_end(self, since: float) -> float:
        """Return when a read that begins at a time or later ends, by what the last one took."""
        now, begins_at, took_ms = self.clock.now(), self.begun_at, self.took_ms
        if self.begun_at > self.last_ended_begun_at:
            took_ms = max(took_ms, now - self.begun_at)
        if begins_at < since:
            begins_at = max(now, begins_at + self.interval_ms())
        return begins_at + took_ms

    def has_answered(self, since: float) -> bool:
        """Return whether the store has answered a read that began at a time or later."""
        return self.last_answered_begun_at >= since

    def run(self) -> None:
        """Read the tables once it is time, and wake the requests that wait for it."""
        try:
            self.clock.sleep(max(0.0, self.begun_at + self.interval_ms() - self.clock.now()))
            self.begun_at = self.clock.now()
            if self.read():
                self.last_answered_begun_at, self.failed_at = self.begun_at, float("-inf")
            else:
                self.failed_at = self.clock.now()
        finally:
            self.is_running, self.last_ended_begun_at = False, self.begun_at
            self.took_ms = self.clock.now() - self.begun_at
            ended, self.ended = self.ended, Event()
            ended.set()
