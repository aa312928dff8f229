# lease.py -- A lease held in a row of the table service
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A lease held in a row of the table service."""

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
# Fraction of a lease after which a holder that has not renewed it stops.
SAFE_FRACTION = 0.5
LEASE_PREFIX = "lease/"


class Lease:
    """A lease that one incarnation holds at a time, with a fencing number that grows by term.

    Clocks are not compared. The holder keeps rewriting the row; another incarnation takes the lease
    only after it has seen the row unchanged for a whole lease by its own clock. The holder counts
    from before it sent its last successful write and stops at half a lease, long before another one
    may start. A holder that was paused may be late; the fencing number rejects what it sends then.

    Args:
        name: The name of the lease.
        incarnation: The incarnation that asks for it.
        table: The table service.
        clock: The clock.
        lease_ms: How long the row must be unchanged before another incarnation may take the lease.

    Attributes:
        fence: The fencing number of this holder's last term, 0 before its first one.
        holding: Whether this incarnation held the lease when the row was last read or written.
        safe_until: Until when the holder may act on the lease, in the clock's milliseconds.
        seen_version: The version of the row when it was last read or written.
        seen_at: When that version was first seen, in the clock's milliseconds.
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
        """Return whether the lease is held and safe to act on."""
        return self.holding and self.clock.now() < self.safe_until

    def check(self) -> None:
        """Raise an error if the lease is not held.

        Raises:
            LeaseLostError: The lease is not held, or is too close to its expiry.
        """
        if not self.held():
            raise LeaseLostError(self.key)

    def renew_or_acquire(self) -> bool:
        """Renew the lease or try to take it; return whether it is held.

        Must be called several times per lease.
        """
        try:
            row = self.table.read(self.key)
            self.watch(row)
            if row is not None and self.is_own(row):
                self.write(self.fence_of(row), row.version)
            elif row is None or self.is_expired():
                self.write(self.fence_of(row) + 1, row.version if row else ABSENT)
            else:
                self.holding = False
        except ConditionFailedError:
            self.holding = False
        except (StoreUnavailableError, StoreAmbiguousError):
            return self.held()
        return self.held()

    def watch(self, row: Row | None) -> None:
        """Note when the current version of the row was first seen."""
        version = row.version if row else ABSENT
        if version != self.seen_version:
            self.seen_version = version
            self.seen_at = self.clock.now()

    def is_expired(self) -> bool:
        """Return whether the row has been unchanged for a whole lease."""
        return self.clock.now() - self.seen_at >= self.lease_ms

    def is_own(self, row: Row) -> bool:
        """Return whether a row names this incarnation as the holder."""
        return _fields(row).get("holder") == self.incarnation

    def fence_of(self, row: Row | None) -> int:
        """Return the fencing number in a row, 0 for no row."""
        return 0 if row is None else int(_fields(row)["fence"])

    def write(self, fence: int, version: int) -> None:
        """Write the row; the lease is counted from before the write was sent."""
        sent_at = self.clock.now()
        value = json.dumps({"holder": self.incarnation, "fence": fence, "at": sent_at}).encode()
        self.seen_version = self.table.commit([Write(self.key, value, version)])
        self.seen_at = sent_at
        self.fence = fence
        self.holding = True
        self.safe_until = sent_at + SAFE_FRACTION * self.lease_ms

    def release(self) -> None:
        """Release the lease at once, if the store can be reached."""
        self.holding = False
        try:
            row = self.table.read(self.key)
            if row is not None and self.is_own(row):
                value = json.dumps({"holder": "", "fence": self.fence_of(row)}).encode()
                self.table.commit([Write(self.key, value, row.version)])
        except (ConditionFailedError, StoreUnavailableError, StoreAmbiguousError):
            return


def _fields(row: Row) -> dict[str, object]:
    try:
        table = json.loads(row.value)
        return {"holder": str(table["holder"]), "fence": int(table["fence"])}
    except MALFORMED as error:
        raise BadRowError(f"{row.key}: malformed lease: {error}") from error
