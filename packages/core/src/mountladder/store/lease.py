# lease.py -- A lease kept in the table service
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A lease kept in the table service."""

from __future__ import annotations

import json

from mountladder.clocks.clock import Clock
from mountladder.errors import (
    MALFORMED,
    BadRowError,
    ConditionFailedError,
    LeaseLostError,
    StoreAmbiguousError,
    StoreUnavailableError,
)
from mountladder.store.row import Row
from mountladder.store.table import Table
from mountladder.store.write import ABSENT, Write

LEASE_MS = 9_000.0
SAFE_SHARE = 0.5
LEASE_PREFIX = "lease/"


class Lease:
    """A lease that one incarnation holds at a time, with a number that grows with each holder.

    No clocks are compared. The holder writes the row again and again; another one takes the lease
    only after it has seen the row unchanged for a whole lease by its own clock. The holder counts
    from before it sent its last good write and stops at half a lease, so that it has long stopped
    when another may begin, unless it is paused; the number fences off what it sends then.

    Args:
        name: What the lease is on.
        incarnation: Who asks for it.
        table: The table service.
        clock: The clock.
        lease_ms: How long the row must stand unchanged before another may take it.

    Attributes:
        fence: The number of this holder's term, 0 while it never held the lease.
    """

    def __init__(
        self, name: str, incarnation: str, table: Table, clock: Clock, lease_ms: float = LEASE_MS
    ) -> None:
        self.key = LEASE_PREFIX + name
        self.incarnation = incarnation
        self.table = table
        self.clock = clock
        self.lease_ms = lease_ms
        self.fence = 0
        self.holding = False
        self.safe_until = float("-inf")
        self.seen_version: int | None = None
        self.seen_at = clock.now()

    def held(self) -> bool:
        """Tell whether the lease is held and will be for a while yet."""
        return self.holding and self.clock.now() < self.safe_until

    def check(self) -> None:
        """Raise where the lease is not held.

        Raises:
            LeaseLostError: It is not held, or too near its end.
        """
        if not self.held():
            raise LeaseLostError(self.key)

    def step(self) -> bool:
        """Renew the lease or try to take it; tell whether it is held.

        To be called several times a lease.
        """
        try:
            row = self.table.read(self.key)
            self.watch(row)
            if row is not None and self.is_mine(row):
                self.write(self.fence_of(row), row.version)
            elif row is None or self.is_over():
                self.write(self.fence_of(row) + 1, row.version if row else ABSENT)
            else:
                self.holding = False
        except ConditionFailedError:
            self.holding = False
        except (StoreUnavailableError, StoreAmbiguousError):
            return self.held()
        return self.held()

    def watch(self, row: Row | None) -> None:
        """Note when the row was first seen as it is now."""
        version = row.version if row else ABSENT
        if version != self.seen_version:
            self.seen_version = version
            self.seen_at = self.clock.now()

    def is_over(self) -> bool:
        """Tell whether the row has stood unchanged for a whole lease."""
        return self.clock.now() - self.seen_at >= self.lease_ms

    def is_mine(self, row: Row) -> bool:
        """Tell whether a row names this incarnation."""
        return _table(row).get("holder") == self.incarnation

    def fence_of(self, row: Row | None) -> int:
        """Return the number of a row's term."""
        return 0 if row is None else int(_table(row)["fence"])

    def write(self, fence: int, version: int) -> None:
        """Write the row; the lease is counted from before it was sent."""
        sent_at = self.clock.now()
        value = json.dumps({"holder": self.incarnation, "fence": fence, "at": sent_at}).encode()
        self.seen_version = self.table.commit([Write(self.key, value, version)])
        self.seen_at = sent_at
        self.fence = fence
        self.holding = True
        self.safe_until = sent_at + SAFE_SHARE * self.lease_ms

    def release(self) -> None:
        """Give the lease up at once, where the store can be reached."""
        self.holding = False
        try:
            row = self.table.read(self.key)
            if row is not None and self.is_mine(row):
                value = json.dumps({"holder": "", "fence": self.fence_of(row)}).encode()
                self.table.commit([Write(self.key, value, row.version)])
        except (ConditionFailedError, StoreUnavailableError, StoreAmbiguousError):
            return


def _table(row: Row) -> dict[str, object]:
    try:
        table = json.loads(row.value)
        return {"holder": str(table["holder"]), "fence": int(table["fence"])}
    except MALFORMED as error:
        raise BadRowError(f"{row.key}: no lease: {error}") from error
