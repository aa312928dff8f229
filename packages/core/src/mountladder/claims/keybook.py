# keybook.py -- In-memory records of the idempotency keys of one incarnation
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""In-memory records of the idempotency keys of one incarnation."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable

from gevent.event import Event

from mountladder.claims.keyrecord import KeyRecord
from mountladder.claims.keystate import KeyState
from mountladder.clocks.clock import Clock

KEEP_MS = 24 * 3_600_000.0
MOST_ANSWER_BYTES = 32 * 1024 * 1024
MOST_RECORDS = 100_000


class KeyBook:
    """The records of the keys whose requests this incarnation ran or is running.

    Answers are dropped, oldest first, when they take too much memory; the records themselves are
    evicted by age and number only.

    Args:
        clock: The clock.
        keep_ms: How long a record is kept after its request finished, in milliseconds.
        most_records: The maximum number of records of finished requests.

    Attributes:
        on_forget: Called with the key of each record that is evicted.
        records: The records, by key.
        ended_at: When each finished request finished, by key, the oldest first.
        answers: The kept answers as JSON, by key, the oldest first.
        ends: Events that are set when a running request finishes, by key.
        answer_bytes: The size of the kept answers.
    """

    def __init__(
        self, clock: Clock, keep_ms: float = KEEP_MS, most_records: int = MOST_RECORDS
    ) -> None:
        self.clock = clock
        self.keep_ms = keep_ms
        self.most_records = most_records
        self.on_forget: Callable[[str], None] = lambda key: None
        self.records: OrderedDict[str, KeyRecord] = OrderedDict()
        self.ended_at: OrderedDict[str, float] = OrderedDict()
        self.answers: OrderedDict[str, bytes] = OrderedDict()
        self.ends: dict[str, Event] = {}
        self.answer_bytes = 0

    def find(self, key: str) -> KeyRecord | None:
        """Return the record of a key, with its answer if that is kept, or None."""
        return self.records.get(key)

    def answer(self, key: str) -> bytes | None:
        """Return the kept answer of a key, or None."""
        return self.answers.get(key)

    def begin(self, record: KeyRecord) -> None:
        """Add the record of a key whose request is about to run."""
        self.records[record.key] = record
        self.ends[record.key] = Event()

    def wait(self, key: str, delay_ms: float) -> None:
        """Wait for the request of a key to finish, for a limited time."""
        event = self.ends.get(key)
        if event is not None:
            self.clock.wait(event, delay_ms)

    def end(self, record: KeyRecord) -> None:
        """Record the outcome of the request of a key."""
        self.records[record.key] = record
        self.ended_at[record.key] = self.clock.now()
        if record.answer is not None:
            self.answers[record.key] = record.answer
            self.answer_bytes += len(record.answer)
        self.wake(record.key)
        self.trim()

    def drop(self, key: str) -> None:
        """Remove the record of a key whose request did not run."""
        self.records.pop(key, None)
        self.wake(key)

    def wake(self, key: str) -> None:
        """Wake the repeated requests that wait for a key."""
        event = self.ends.pop(key, None)
        if event is not None:
            event.set()

    def trim(self) -> None:
        """Evict records that are too old or too many, and answers that are too large."""
        horizon = self.clock.now() - self.keep_ms
        while self.ended_at:
            key, at = next(iter(self.ended_at.items()))
            if at > horizon and len(self.ended_at) <= self.most_records:
                break
            self.forget(key)
        while self.answer_bytes > MOST_ANSWER_BYTES:
            self.drop_answer(next(iter(self.answers)))

    def forget(self, key: str) -> None:
        """Evict the record of a finished request."""
        self.on_forget(key)
        del self.ended_at[key]
        self.records.pop(key, None)
        self.drop_answer(key)

    def drop_answer(self, key: str) -> None:
        """Drop a kept answer, but not the record of its key."""
        answer = self.answers.pop(key, None)
        if answer is not None:
            self.answer_bytes -= len(answer)
            record = self.records.get(key)
            if record is not None:
                self.records[key] = _without_answer(record)


def _without_answer(record: KeyRecord) -> KeyRecord:
    return KeyRecord(
        record.key,
        record.nonce,
        record.incarnation,
        record.fingerprint,
        record.at_ms,
        KeyState.UNKNOWN if record.state is KeyState.DONE else record.state,
        None,
        record.code,
        record.detail,
    )
