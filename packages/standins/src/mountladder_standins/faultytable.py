# faultytable.py -- A table with injected faults
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A table with injected faults."""

from __future__ import annotations

import dataclasses
from collections.abc import Sequence

import gevent

from mountladder.clocks.clock import Clock
from mountladder.errors import (
    ConditionFailedError,
    StoreAmbiguousError,
    StoreUnavailableError,
)
from mountladder.store.row import Row
from mountladder.store.table import Table
from mountladder.store.write import Write
from mountladder_standins.faults import Faults


class FaultyTable(Table):
    """Forwards calls to another table and injects the faults that are set.

    Args:
        inner: The table that holds the rows.
        clock: The clock that slow calls wait on.

    Attributes:
        faults: The current faults.
        reads: How many reads were attempted.
        commits: How many transactions were attempted.
        rows_written: How many rows were written by transactions that took effect.
    """

    def __init__(self, inner: Table, clock: Clock) -> None:
        self.inner = inner
        self.clock = clock
        self.faults = Faults()
        self.reads = 0
        self.commits = 0
        self.rows_written = 0
        self.commit_times: list[float] = []

    def read(self, key: str) -> Row | None:
        """Return a row; see Table."""
        self.start_read()
        return self.inner.read(key)

    def scan(self, prefix: str, after: str = "", limit: int = 100) -> list[Row]:
        """Return rows in order; see Table."""
        self.start_read()
        return self.inner.scan(prefix, after, limit)

    def commit(self, writes: Sequence[Write]) -> int:
        """Apply every write or none; see Table."""
        self.commits += 1
        self.limit_rate()
        self.apply_faults()
        if self.faults.late_ms:
            gevent.spawn(self.commit_late, writes, self.faults.late_ms)
            self.faults = dataclasses.replace(self.faults, late_ms=0.0)
            raise StoreAmbiguousError("the transaction has not taken effect yet")
        version = self.inner.commit(writes)
        self.rows_written += len(writes)
        if self.faults.lose_answers:
            self.faults = self.faults.decremented("lose_answers")
            raise StoreAmbiguousError("the answer was lost")
        return version

    def commit_late(self, writes: Sequence[Write], delay_ms: float) -> None:
        """Apply a transaction after a delay, as if it had been held up in the network."""
        self.clock.sleep(delay_ms)
        try:
            self.inner.commit(writes)
        except (ConditionFailedError, StoreUnavailableError, StoreAmbiguousError):
            return
        self.rows_written += len(writes)

    def start_read(self) -> None:
        """Count a read and apply the faults to it."""
        self.reads += 1
        self.apply_faults()

    def apply_faults(self) -> None:
        """Delay the call if the store is slow; raise an error if it is down."""
        if self.faults.slow_ms:
            self.clock.sleep(self.faults.slow_ms)
        if self.faults.down:
            raise StoreUnavailableError("the store is down")

    def limit_rate(self) -> None:
        """Refuse a transaction above the maximum rate."""
        if not self.faults.most_writes:
            return
        now = self.clock.now()
        self.commit_times = [at for at in self.commit_times if now - at < 1000.0]
        if len(self.commit_times) >= self.faults.most_writes:
            raise StoreUnavailableError("too many transactions a second")
        self.commit_times.append(now)
