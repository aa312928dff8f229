# memoryoriginstore.py -- An in-memory store of origins of streams
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""An in-memory store of origins of streams."""

from __future__ import annotations

from collections.abc import Sequence

from mountladder.errors import StoreUnavailableError
from mountladder.streams.originbatch import OriginBatch
from mountladder.streams.originstore import OriginStore


class MemoryOriginStore(OriginStore):
    """An in-memory OriginStore, for tests.

    Attributes:
        rows: The stored batches by name.
        is_down: Whether calls fail.
        reads: The number of reads.
        changes: The number of changes.
    """

    def __init__(self) -> None:
        self.rows: dict[str, OriginBatch] = {}
        self.is_down = False
        self.reads = self.changes = 0

    def read(self) -> tuple[OriginBatch, ...]:
        """Return all stored batches; see OriginStore."""
        self.reads += 1
        self.check()
        return tuple(self.rows.values())

    def change(self, added: Sequence[OriginBatch], removed: Sequence[str]) -> None:
        """Store and remove batches; see OriginStore."""
        self.changes += 1
        self.check()
        self.rows |= {one.name: one for one in added}
        for name in removed:
            self.rows.pop(name, None)

    def check(self) -> None:
        """Raise an error while the store is down."""
        if self.is_down:
            raise StoreUnavailableError("the store is down")
