# memorysource.py -- A followed table kept in memory
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A followed table kept in memory."""

from __future__ import annotations

from gevent.event import Event

from mountladder.clocks.clock import Clock
from mountladder.errors import HistoryLostError, StoreUnavailableError
from mountladder.forwarding.source import Source
from mountladder.forwarding.sourcefollower import ANSWER_MS
from mountladder.forwarding.sourcepage import SourcePage
from mountladder.forwarding.sourcerow import SourceRow


class MemorySource(Source):
    """The in-memory twin of a followed table.

    Args:
        clock: The clock.

    Attributes:
        down: While set, calls fail.
        silent: While set, calls are not answered and fail late.
        oldest: Changes up to this version are forgotten.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.rows: dict[str, SourceRow] = {}
        self.version = 0
        self.oldest = 0
        self.down = False
        self.silent = False
        self.changed = Event()

    def put(self, key: str, value: bytes | None) -> None:
        """Write a row, or remove it with None."""
        self.version += 1
        self.rows[key] = SourceRow(key, value, self.version)
        self.changed.set()
        self.changed = Event()

    def forget(self) -> None:
        """Drop the history up to now."""
        self.oldest = self.version

    def read(self) -> SourcePage:
        """Return all rows; see Source."""
        self.check()
        rows = (row for row in self.rows.values() if row.value is not None)
        return SourcePage(tuple(rows), self.version)

    def changes(self, after: int, wait_ms: float) -> SourcePage:
        """Return what changed; see Source."""
        self.check()
        if self.silent:
            self.clock.sleep(wait_ms + ANSWER_MS)
            raise StoreUnavailableError("no answer came")
        if self.version <= after:
            self.clock.wait(self.changed, wait_ms)
            self.check()
        if after < self.oldest:
            raise HistoryLostError(after)
        rows = (row for row in self.rows.values() if row.version > after)
        return SourcePage(tuple(rows), self.version)

    def check(self) -> None:
        """Fail while the store is down."""
        if self.down:
            raise StoreUnavailableError("the store is down")
