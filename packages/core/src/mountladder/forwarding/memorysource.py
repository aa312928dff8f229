# memorysource.py -- In-memory implementation of a followed table, for tests and demos
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""In-memory implementation of a followed table, for tests and demos."""

from __future__ import annotations

from gevent.event import Event

from mountladder.clocks.clock import Clock
from mountladder.errors import HistoryLostError, StoreUnavailableError
from mountladder.forwarding.source import Source
from mountladder.forwarding.sourcefollower import ANSWER_MS
from mountladder.forwarding.sourcepage import SourcePage
from mountladder.forwarding.sourcerow import SourceRow
from mountladder.store.position import Position


class MemorySource(Source):
    """A followed table in memory.

    Args:
        clock: The clock.

    Attributes:
        down: While set, calls fail.
        silent: While set, calls fail only after their timeout.
        era: How often the table was restored from an older copy.
        oldest: Changes up to this version are no longer available.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.rows: dict[str, SourceRow] = {}
        self.era = 0
        self.version = 0
        self.oldest = 0
        self.saved_copy: tuple[dict[str, SourceRow], int] = ({}, 0)
        self.down = False
        self.silent = False
        self.changed = Event()

    @property
    def position(self) -> Position:
        """Return the position of the last change."""
        return Position(self.era, self.version)

    def copy(self) -> None:
        """Save a copy, to be restored later."""
        self.saved_copy = (dict(self.rows), self.version)

    def restore_copy(self) -> None:
        """Restore the copy: later writes are lost, and their versions are assigned again."""
        rows, self.version = self.saved_copy
        self.era += 1
        self.oldest = min(self.oldest, self.version)
        for key, row in rows.items():
            self.rows[key] = SourceRow(key, row.value, Position(self.era, row.position.version))
        for key in set(self.rows) - set(rows):
            del self.rows[key]
        self.changed.set()
        self.changed = Event()

    def put(self, key: str, value: bytes | None) -> None:
        """Write a row, or remove it with None."""
        self.version += 1
        self.rows[key] = SourceRow(key, value, self.position)
        self.changed.set()
        self.changed = Event()

    def drop_history(self) -> None:
        """Drop the history up to now."""
        self.oldest = self.version

    def read(self) -> SourcePage:
        """Return all rows; see Source."""
        self.check()
        if self.silent:
            self.clock.sleep(ANSWER_MS)
            raise StoreUnavailableError("the call timed out")
        rows = (row for row in self.rows.values() if row.value is not None)
        return SourcePage(tuple(rows), self.position)

    def changes(self, after: Position, wait_ms: float) -> SourcePage:
        """Return what changed; see Source."""
        self.check()
        if self.silent:
            self.clock.sleep(wait_ms + ANSWER_MS)
            raise StoreUnavailableError("the call timed out")
        if after.era == self.era and self.version == after.version:
            self.clock.wait(self.changed, wait_ms)
            self.check()
        if after.era != self.era or not self.oldest <= after.version <= self.version:
            raise HistoryLostError(after)
        rows = (row for row in self.rows.values() if row.position > after)
        return SourcePage(tuple(rows), self.position)

    def check(self) -> None:
        """Fail while the store is down."""
        if self.down:
            raise StoreUnavailableError("the store is down")
