# memorysuspicionstore.py -- An in-memory store of suspicions
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""An in-memory store of suspicions."""

from __future__ import annotations

from mountladder.errors import StoreUnavailableError
from mountladder.quarantine.suspicion import Suspicion
from mountladder.quarantine.suspicionstore import SuspicionStore


class MemorySuspicionStore(SuspicionStore):
    """An in-memory SuspicionStore, for tests.

    Attributes:
        rows: The stored suspicions, by fingerprint.
        down: Whether calls fail.
        calls: The number of calls.
        writes: The suspicions that were written, in order.
    """

    def __init__(self) -> None:
        self.rows: dict[str, Suspicion] = {}
        self.down = False
        self.calls = 0
        self.writes: list[Suspicion] = []

    def read(self) -> tuple[Suspicion, ...]:
        """Return all stored suspicions; see SuspicionStore."""
        self.check()
        return tuple(self.rows.values())

    def write(self, suspicion: Suspicion) -> None:
        """Store a suspicion; see SuspicionStore."""
        self.check()
        self.rows[suspicion.fingerprint] = suspicion
        self.writes.append(suspicion)

    def remove(self, fingerprint: str) -> None:
        """Delete a suspicion; see SuspicionStore."""
        self.check()
        self.rows.pop(fingerprint, None)

    def check(self) -> None:
        """Count a call, and fail while the store is down."""
        self.calls += 1
        if self.down:
            raise StoreUnavailableError("the store is down")
