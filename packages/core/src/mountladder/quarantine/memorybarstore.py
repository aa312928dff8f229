# memorybarstore.py -- Bars kept in memory
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Bars kept in memory."""

from __future__ import annotations

from mountladder.errors import StoreUnavailableError
from mountladder.quarantine.barstore import BarStore
from mountladder.quarantine.suspicion import Suspicion


class MemoryBarStore(BarStore):
    """The in-memory twin of the platform's table of bars.

    Attributes:
        rows: What is kept, by fingerprint.
        down: While set, calls fail.
        calls: How many calls were made.
    """

    def __init__(self) -> None:
        self.rows: dict[str, Suspicion] = {}
        self.down = False
        self.calls = 0

    def read(self) -> tuple[Suspicion, ...]:
        """Return all that are kept; see BarStore."""
        self.check()
        return tuple(self.rows.values())

    def write(self, suspicion: Suspicion) -> None:
        """Keep one; see BarStore."""
        self.check()
        self.rows[suspicion.fingerprint] = suspicion

    def remove(self, fingerprint: str) -> None:
        """Drop one; see BarStore."""
        self.check()
        self.rows.pop(fingerprint, None)

    def check(self) -> None:
        """Count a call, and fail while the store is down."""
        self.calls += 1
        if self.down:
            raise StoreUnavailableError("the store is down")
