# memorytable.py -- An in-memory table
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""An in-memory table."""

from __future__ import annotations

from collections.abc import Sequence

from sortedcontainers import SortedDict

from mountladder.errors import ConditionFailedError
from mountladder.store.row import Row
from mountladder.store.table import Table
from mountladder.store.write import ABSENT, Write


class MemoryTable(Table):
    """A table in the memory of this process."""

    def __init__(self) -> None:
        self.rows: SortedDict = SortedDict()
        self.commits = 0

    def read(self, key: str) -> Row | None:
        """Return a row; see Table."""
        return self.rows.get(key)

    def scan(self, prefix: str, after: str = "", limit: int = 100) -> list[Row]:
        """Return rows in order; see Table."""
        found: list[Row] = []
        start = max(prefix, after)
        for key in self.rows.irange(start, inclusive=(start != after, True)):
            if not key.startswith(prefix) or len(found) >= limit:
                break
            found.append(self.rows[key])
        return found

    def commit(self, writes: Sequence[Write]) -> int:
        """Apply every write or none; see Table."""
        failed = tuple(write.key for write in writes if not self.holds(write))
        if failed:
            raise ConditionFailedError(failed)
        self.commits += 1
        for write in writes:
            if write.value is None:
                self.rows.pop(write.key, None)
            else:
                self.rows[write.key] = Row(write.key, write.value, self.commits)
        return self.commits

    def holds(self, write: Write) -> bool:
        """Return whether a write's condition holds."""
        if write.expected is None:
            return True
        row = self.rows.get(write.key)
        return (row.version if row else ABSENT) == write.expected
