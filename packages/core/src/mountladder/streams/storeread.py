# storeread.py -- Shares reads of a table between the requests that need it
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Shares reads of a table between the requests that need it."""

from __future__ import annotations

from collections.abc import Callable

import gevent
from gevent.event import Event

from mountladder.clocks.clock import Clock

# A read that is younger than this serves further requests, and one that failed is not repeated.
MAX_AGE_MS = 1_000.0
# How long a request waits for the store, which answers in about 4 ms, and in 320 ms while it is
# slow.
WAIT_MS = 400.0


class StoreRead:
    """Reads a table of the platform's store for the requests that need it, one read at a time.

    Args:
        read: Reads the table, and returns whether the store answered.
        clock: The clock.

    Attributes:
        answered_at: When a read of a request was last answered.
        begun_at: When the last one began.
        is_done: Set once that one has ended.
    """

    def __init__(self, read: Callable[[], bool], clock: Clock) -> None:
        self.read = read
        self.clock = clock
        self.answered_at = self.begun_at = float("-inf")
        self.is_done = Event()

    def refresh(self) -> bool:
        """Read the table, unless that was just done; return whether the store has answered."""
        if self.clock.now() - self.begun_at >= MAX_AGE_MS:
            self.begun_at = self.clock.now()
            self.is_done = Event()
            gevent.spawn(self.run, self.is_done)
        self.clock.wait(self.is_done, WAIT_MS)
        return self.clock.now() - self.answered_at < MAX_AGE_MS

    def run(self, is_done: Event) -> None:
        """Read the table, and wake the requests that wait for it."""
        try:
            if self.read():
                self.answered_at = self.clock.now()
        finally:
            is_done.set()
