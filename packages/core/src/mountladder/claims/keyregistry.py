# keyregistry.py -- In-memory records of the idempotency keys of one incarnation
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

RECORD_TTL_MS = 24 * 3_600_000.0
MAX_ANSWER_BYTES = 32 * 1024 * 1024
MAX_RECORDS = 100_000


class KeyRegistry:
    """The records of the keys whose requests this incarnation ran or is running.

    Answers are dropped, oldest first, when they take too much memory; the records themselves are
    evicted by age and number only.

    Args:
        clock: The clock.
        keep_ms: How long a record is kept after its request finished, in milliseconds.
        max_records: The maximum number of records of finished requests.

    Attributes:
        on_evict: Called with the key of each record that is evicted.
        records: The records, by key.
        finished_at: When each request finished, by key, the oldest first.
        answers: The stored answers as JSON, by key, the oldest first.
        finished: Events that are set when a running request finishes, by key.
        answer_bytes: The size of the stored answers in bytes.
    """

    def __init__(
        self, clock: Clock, keep_ms: float = RECORD_TTL_MS, max_records: int = MAX_RECORDS
    ) -> None:
        self.clock = clock
        self.keep_ms = keep_ms
        self.max_records = max_records
        self.on_evict: Callable[[str], None] = lambda key: None
        self.records: OrderedDict[str, KeyRecord] = OrderedDict()
        self.finished_at: OrderedDict[str, float] = OrderedDict()
        self.answers: OrderedDict[str, bytes] = OrderedDict()
        self.finished: dict[str, Event] = {}
        self.answer_bytes = 0

    def find(self, key: str) -> KeyRecord | None:
        """Return the record of a key, with its answer if that is kept, or None."""
        return self.records.get(key)

    def answer(self, key: str) -> bytes | None:
        """Return the stored answer of a key, or None."""
        return self.answers.get(key)

    def begin(self, record: KeyRecord) -> None:
        """Add the record of a key whose request is about to run."""
        self.records[record.key] = record
        self.finished[record.key] = Event()

    def wait(self, key: str, delay_ms: float) -> None:
        """Wait for the request of a key to finish, for a limited time."""
        event = self.finished.get(key)
        if event is not None:
            self.clock.wait(event, delay_ms)

    def record_outcome(self, record: KeyRecord) -> None:
        """Record the outcome of the request of a key."""
        self.records[record.key] = record
        self.finished_at[record.key] = self.clock.now()
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
        event = self.finished.pop(key, None)
        if event is not None:
            event.set()

    def trim(self) -> None:
        """Evict old or excess records, and answers while they take too much memory."""
        horizon = self.clock.now() - self.keep_ms
        while self.finished_at:
            key, at = next(iter(self.finished_at.items()))
            if at > horizon and len(self.finished_at) <= self.max_records:
                break
            self.evict(key)
        while self.answer_bytes > MAX_ANSWER_BYTES:
            self.drop_answer(next(iter(self.answers)))

    def evict(self, key: str) -> None:
        """Evict the record of a finished request."""
        self.on_evict(key)
        del self.finished_at[key]
        self.records.pop(key, None)
        self.drop_answer(key)

    def drop_answer(self, key: str) -> None:
        """Drop a stored answer, but not the record of its key."""
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
