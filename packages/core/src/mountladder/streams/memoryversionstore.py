# memoryversionstore.py -- An in-memory store of the software versions that serve each service
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""An in-memory store of the software versions that serve each service."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from mountladder.clocks.clock import Clock
from mountladder.errors import StoreUnavailableError
from mountladder.store.position import Position
from mountladder.streams.servedversion import ServedVersion
from mountladder.streams.storedversions import StoredVersions
from mountladder.streams.versionstore import VersionStore


class MemoryVersionStore(VersionStore):
    """An in-memory VersionStore, for tests.

    Args:
        clock: The clock.

    Attributes:
        rows: The stored versions, and whether all servers of each were leaving.
        era: How often the store was restored from an older copy.
        confirmed_era: The era for which the versions were confirmed, or None.
        confirmed_version: The version up to which they were, or None.
        is_readable: Whether reads succeed.
        is_writable: Whether changes succeed.
        delay_ms: How long a call takes, in milliseconds.
        reads: The number of reads.
        changes: The number of changes.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.rows: dict[ServedVersion, bool] = {}
        self.era = 0
        self.confirmed_era: int | None = None
        self.confirmed_version: int | None = None
        self.is_readable = True
        self.is_writable = True
        self.delay_ms = 0.0
        self.reads = self.changes = 0

    def read(self) -> StoredVersions:
        """Return all stored versions; see VersionStore."""
        self.reads += 1
        self.answer(self.is_readable)
        return StoredVersions(dict(self.rows), self.era, self.confirmed_era, self.confirmed_version)

    def change(
        self,
        changed: Mapping[ServedVersion, bool],
        removed: Sequence[ServedVersion],
        confirmed: Position | None = None,
    ) -> None:
        """Store and remove versions; see VersionStore."""
        self.changes += 1
        self.answer(self.is_writable)
        self.rows |= changed
        for one in removed:
            self.rows.pop(one, None)
        if confirmed is not None:
            self.confirmed_era, self.confirmed_version = confirmed.era, confirmed.version

    def answer(self, is_answered: bool) -> None:
        """Wait as long as a call takes, and raise an error if it is not answered."""
        if self.delay_ms:
            self.clock.sleep(self.delay_ms)
        if not is_answered:
            raise StoreUnavailableError("the store is down")
