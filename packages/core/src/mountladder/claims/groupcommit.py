# groupcommit.py -- Commits writes of many requests in shared transactions
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Commits writes of many requests in shared transactions."""

from __future__ import annotations

from collections import deque

from gevent.event import Event

from mountladder.claims.pendingwrite import PendingWrite
from mountladder.clocks.clock import Clock
from mountladder.errors import ConditionFailedError, StoreAmbiguousError, StoreUnavailableError
from mountladder.metrics.metric import Metric
from mountladder.metrics.metrics import Metrics
from mountladder.store.table import Table
from mountladder.store.write import ABSENT, Write

MAX_BATCH_WRITES = 100
RETRY_PAUSE_MS = 50.0


class GroupCommit:
    """Commits independent conditional writes of many requests in shared transactions.

    One transaction is in flight at a time, followed by a pause; writes that arrive meanwhile go
    into the next one. This bounds the transactions per second whatever the load. A write whose
    condition does not hold is removed from the batch, and the others are sent again. The writes of
    a transaction without an answer are sent again unchanged: if a row then holds exactly the value
    to be written, the lost transaction wrote it, since every value carries a nonce.

    Args:
        table: The table service.
        clock: The clock.
        metrics: Counts transactions and store errors.
        window_ms: The pause after each transaction, in milliseconds.

    Attributes:
        queue: The writes that wait for a transaction, in order.
        arrived: Set while there may be writes in the queue.
        transactions: The number of transactions sent.
        rows: The number of rows written.
    """

    def __init__(
        self, table: Table, clock: Clock, metrics: Metrics, window_ms: float = 5.0
    ) -> None:
        self.table = table
        self.clock = clock
        self.metrics = metrics
        self.window_ms = window_ms
        self.queue: deque[PendingWrite] = deque()
        self.arrived = Event()
        self.transactions = 0
        self.rows = 0

    def submit(self, write: Write, until: float) -> int:
        """Commit a write and return the new version of its row.

        Args:
            write: The write; its value must differ from every other value ever written there.
            until: The time to stop trying, in the clock's milliseconds.

        Raises:
            ConditionFailedError: The condition does not hold.
            StoreUnavailableError: Nothing was written.
            StoreAmbiguousError: The write may have taken effect, or may yet.
        """
        pending = PendingWrite(write, until)
        self.queue.append(pending)
        self.arrived.set()
        if not self.clock.wait(pending.settled, until - self.clock.now()):
            self.withdraw(pending)
        if pending.error is not None:
            raise pending.error
        return pending.version

    def withdraw(self, pending: PendingWrite) -> None:
        """Give up a write whose time is over while it is queued or in flight."""
        if pending in self.queue:
            self.queue.remove(pending)
            self.give_up(pending, StoreUnavailableError("the store did not answer in time"))
        else:
            pending.ambiguous = True
            self.give_up(pending, StoreAmbiguousError("the store did not answer in time"))

    def run(self) -> None:
        """Commit submitted writes, for ever."""
        while True:
            self.arrived.wait()
            self.commit(self.next_batch())
            if not self.queue:
                self.arrived.clear()
            self.clock.sleep(self.window_ms)

    def next_batch(self) -> list[PendingWrite]:
        """Remove the next batch from the queue, with at most one write for each row."""
        batch: dict[str, PendingWrite] = {}
        rest: list[PendingWrite] = []
        while self.queue and len(batch) < MAX_BATCH_WRITES:
            pending = self.queue.popleft()
            if pending.write.key in batch:
                rest.append(pending)
            else:
                batch[pending.write.key] = pending
        self.queue.extendleft(reversed(rest))
        return list(batch.values())

    def commit(self, batch: list[PendingWrite]) -> None:
        """Commit a batch until each of its writes is settled or put back into the queue."""
        while batch:
            self.transactions += 1
            self.metrics.count(Metric.CLAIM_COMMITS)
            try:
                version = self.table.commit([pending.write for pending in batch])
            except ConditionFailedError as error:
                batch = self.without_failed(batch, frozenset(error.keys))
            except (StoreAmbiguousError, StoreUnavailableError) as error:
                self.requeue(batch, error)
                return
            else:
                self.rows += len(batch)
                for pending in batch:
                    pending.succeed(version)
                return

    def without_failed(
        self, batch: list[PendingWrite], failed: frozenset[str]
    ) -> list[PendingWrite]:
        """Settle the writes whose condition does not hold and return the others."""
        for pending in batch:
            if pending.write.key in failed:
                self.settle_failed(pending)
        return [pending for pending in batch if not pending.settled.is_set()]

    def settle_failed(self, pending: PendingWrite) -> None:
        """Settle a write whose condition failed, maybe because it took effect before."""
        try:
            row = self.table.read(pending.write.key)
        except StoreUnavailableError as error:
            self.give_up(pending, error)
            return
        if row is None and pending.write.value is None:
            pending.succeed(ABSENT)
        elif row is not None and row.value == pending.write.value:
            pending.succeed(row.version)
        else:
            pending.fail(ConditionFailedError((pending.write.key,)))

    def requeue(
        self, batch: list[PendingWrite], error: StoreUnavailableError | StoreAmbiguousError
    ) -> None:
        """Pause, and requeue the writes that still have time."""
        self.metrics.count(Metric.STORE_ERRORS, error.code.name.lower())
        for pending in batch:
            pending.ambiguous = pending.ambiguous or isinstance(error, StoreAmbiguousError)
        self.clock.sleep(RETRY_PAUSE_MS)
        unsettled = [pending for pending in batch if not pending.settled.is_set()]
        for pending in reversed(unsettled):
            if self.clock.now() >= pending.until:
                self.give_up(pending, error)
            else:
                self.queue.appendleft(pending)
                self.arrived.set()

    def give_up(
        self, pending: PendingWrite, error: StoreUnavailableError | StoreAmbiguousError
    ) -> None:
        """Settle a write whose outcome will not be known in time, with an error."""
        if pending.ambiguous:
            pending.fail(StoreAmbiguousError(error.detail))
        else:
            pending.fail(StoreUnavailableError(error.detail))
