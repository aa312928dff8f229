# idempotency.py -- Runs non-idempotent requests at most once, by their idempotency keys
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Runs non-idempotent requests at most once, by their idempotency keys."""

from __future__ import annotations

import dataclasses
import itertools
import uuid
from collections.abc import Callable

from gevent.pool import Group

from mountladder.claims.claimrow import CLAIM_PREFIX, claim_key, claim_write, claimed_at
from mountladder.claims.groupcommit import GroupCommit
from mountladder.claims.issuedkey import IssuedKey, is_issued
from mountladder.claims.keydecision import KeyDecision
from mountladder.claims.keyrecord import KeyRecord
from mountladder.claims.keyregistry import KeyRegistry
from mountladder.claims.keystate import KeyState
from mountladder.clocks.clock import Clock
from mountladder.code import Code
from mountladder.errors import (
    ConditionFailedError,
    MountladderError,
    RefusalError,
    RunError,
    StoreAmbiguousError,
    StoreUnavailableError,
)
from mountladder.metrics.metric import Metric
from mountladder.metrics.metrics import Metrics
from mountladder.requests.request import Request
from mountladder.resultclass import ResultClass
from mountladder.store.table import Table
from mountladder.store.write import Write

# Issued keys that are older are not run.
ISSUED_KEY_TTL_MS = 3_600_000.0
# Fraction of a request's remaining time that may be spent on the claim.
CLAIM_FRACTION = 0.5
# How long writes that no caller waits for are tried.
BACKGROUND_WRITE_MS = 60_000.0
MAX_KEY_LENGTH = 200
RETRY_AFTER_MS = 1_000.0


class Idempotency:
    """Decides for each key whether its request runs here, is answered from a record, or is refused.

    A key issued by an instance may be run by that incarnation only, so its memory decides and no
    store is needed. Any other key must first be claimed by inserting a row into the store. A claim
    is never taken over: if its holder is gone, the outcome is unknown.

    Args:
        instance: The name of this instance.
        incarnation: The incarnation of this instance.
        secret: The fleet's key, which authenticates issued keys.
        registry: The records of keys in memory.
        commits: Writes claims.
        table: Reads claims.
        clock: The clock.
        metrics: Counts claims, replays and store errors.

    Attributes:
        versions: The versions of the claim rows of running requests, by key.
        tasks: Background writes that no caller waits for.
        evicted_until: The latest issue time, in the clock's milliseconds, of the issued keys
            whose records were evicted.
        alive: Returns whether an incarnation is believed to be alive.
    """

    def __init__(
        self,
        instance: str,
        incarnation: str,
        secret: bytes,
        registry: KeyRegistry,
        commits: GroupCommit,
        table: Table,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.instance = instance
        self.incarnation = incarnation
        self.secret = secret
        self.registry = registry
        self.commits = commits
        self.table = table
        self.clock = clock
        self.metrics = metrics
        self.versions: dict[str, int] = {}
        self.tasks = Group()
        self.evicted_until = float("-inf")
        registry.on_evict = self.note_evicted
        self.numbers = itertools.count(1)
        self.alive: Callable[[str], bool] = lambda incarnation: True

    def issue(self, team: str) -> str:
        """Return a new key that only this incarnation will run."""
        key = IssuedKey(self.instance, self.incarnation, next(self.numbers), int(self.clock.now()))
        return key.text(self.secret, team)

    def decide(self, request: Request) -> KeyDecision:
        """Decide what to do with a request that has a key, after a running one has finished.

        Raises:
            RefusalError: The request did not run and must not run now.
            RunError: The request may have run, or is running.
        """
        key = full_key(request)
        known = self.registry.find(key)
        while known is not None and known.state is KeyState.RUNNING:
            self.check_fingerprint(known, request)
            remaining = request.deadline - self.clock.now()
            if remaining <= 0:
                break
            self.registry.wait(key, remaining)
            known = self.registry.find(key)
        if known is not None:
            return self.decide_known(known, request)
        if is_issued(request.key):
            return self.decide_issued(request)
        return self.decide_claimed(request)

    def decide_issued(self, request: Request) -> KeyDecision:
        """Decide on an issued key that has no record here."""
        issued = IssuedKey.parse(request.key, self.secret, request.team.name)
        if issued.incarnation != self.incarnation:
            return KeyDecision(issued_key=issued)
        too_old = self.clock.now() - issued.at_ms > ISSUED_KEY_TTL_MS
        if too_old or issued.at_ms <= self.evicted_until:
            raise RunError("", Code.KEY_EXPIRED)
        return KeyDecision(record=self.record_running(request))

    def decide_claimed(self, request: Request) -> KeyDecision:
        """Claim a caller's own key in the store and decide on its request."""
        record = self.record_running(request)
        now = self.clock.now()
        until = now + max(0.0, request.deadline - now) * CLAIM_FRACTION
        try:
            version = self.commits.submit(claim_write(record), until)
        except ConditionFailedError:
            self.registry.drop(record.key)
            return self.decide_existing_claim(record.key, request)
        except StoreAmbiguousError as error:
            self.registry.drop(record.key)
            self.tasks.spawn(self.settle_claim, record)
            raise self.store_needed(error) from error
        except BaseException as error:
            self.registry.drop(record.key)
            if isinstance(error, StoreUnavailableError):
                raise self.store_needed(error) from error
            raise
        self.versions[record.key] = version
        self.metrics.count(Metric.CLAIMS)
        return KeyDecision(record=record)

    def note_evicted(self, key: str) -> None:
        """Note that the record of a key was evicted.

        Issued keys as old as that one or older are not run any more, since their records may have
        been evicted too.
        """
        own = key.partition("/")[2]
        if is_issued(own):
            at_ms = int(own.split("~")[4])
            self.evicted_until = max(self.evicted_until, at_ms)

    def record_running(self, request: Request) -> KeyRecord:
        """Record a key as running, so that repeats of the request on this instance wait for it."""
        record = KeyRecord(
            full_key(request),
            uuid.uuid4().hex,
            self.incarnation,
            request.fingerprint,
            self.clock.wall(),
        )
        self.registry.begin(record)
        return record

    def store_needed(self, error: MountladderError) -> RefusalError:
        """Return the error for a request whose key cannot be claimed."""
        return RefusalError(error.detail, Code.STORE_NEEDED, retry_after_ms=RETRY_AFTER_MS)

    def decide_existing_claim(self, key: str, request: Request) -> KeyDecision:
        """Decide on a request whose key has been claimed in the store."""
        try:
            row = self.table.read(claim_key(key))
        except StoreUnavailableError as error:
            raise RunError("the key is claimed", Code.KEY_OUTCOME_UNKNOWN) from error
        if row is None:
            raise RefusalError("the key was just released", Code.STORE_NEEDED, retry_after_ms=0)
        return self.decide_known(KeyRecord.decode(row.value), request)

    def decide_known(self, known: KeyRecord, request: Request) -> KeyDecision:
        """Decide on a request whose key has a record.

        Raises:
            RefusalError: The key belongs to another request.
            RunError: The request is running, has failed, or its outcome is not known.
        """
        self.check_fingerprint(known, request)
        if known.state is KeyState.DONE and known.answer is not None:
            self.metrics.count(Metric.REPLAYED)
            return KeyDecision(stored_answer=known.answer)
        if known.state is KeyState.FAILED and known.code is not None:
            raise RunError(known.detail, known.code)
        if known.state is KeyState.RUNNING and self.alive(known.incarnation):
            raise RunError("", Code.KEY_RUNNING, retry_after_ms=RETRY_AFTER_MS)
        raise RunError("", Code.KEY_OUTCOME_UNKNOWN)

    def check_fingerprint(self, known: KeyRecord, request: Request) -> None:
        """Refuse a key that was used for another request."""
        if known.fingerprint != request.fingerprint:
            raise RefusalError("", Code.KEY_REUSED)

    def finish(self, record: KeyRecord, answer: bytes) -> None:
        """Record a complete answer, in memory at once and in the store in the background."""
        self.record_outcome(dataclasses.replace(record, state=KeyState.DONE, answer=answer))

    def fail(self, record: KeyRecord, error: MountladderError, dispatched: bool) -> None:
        """Record a failure, or release the key if no stage of the request was dispatched."""
        if not dispatched:
            self.release(record)
            return
        lost = error.code.result is not ResultClass.FAILED
        state = KeyState.UNKNOWN if lost else KeyState.FAILED
        self.record_outcome(
            dataclasses.replace(record, state=state, code=error.code, detail=error.detail)
        )

    def record_outcome(self, record: KeyRecord) -> None:
        """Record the outcome of a request that ran."""
        self.registry.record_outcome(record)
        version = self.versions.pop(record.key, None)
        write = Write(claim_key(record.key), record.encode(), version)
        self.tasks.spawn(self.try_write, write)

    def release(self, record: KeyRecord) -> None:
        """Release a key whose request did not run."""
        self.registry.drop(record.key)
        version = self.versions.pop(record.key, None)
        if version is not None:
            self.tasks.spawn(self.try_write, Write(claim_key(record.key), None, version))

    def settle_claim(self, record: KeyRecord) -> None:
        """Release a claim that may or may not have been written."""
        write = claim_write(record)
        try:
            version = self.commits.submit(write, self.clock.now() + BACKGROUND_WRITE_MS)
        except (ConditionFailedError, StoreUnavailableError, StoreAmbiguousError):
            return
        self.try_write(Write(write.key, None, version))

    def try_write(self, write: Write) -> None:
        """Write to the store if it can be reached; at-most-once does not depend on it."""
        try:
            self.commits.submit(write, self.clock.now() + BACKGROUND_WRITE_MS)
        except (ConditionFailedError, StoreUnavailableError, StoreAmbiguousError) as error:
            self.metrics.count(Metric.STORE_ERRORS, error.code.name.lower())

    def stored_answer(self, request: Request) -> KeyDecision:
        """Read the answer to an issued key from the store, as its issuing instance is gone.

        Raises:
            RunError: There is no record; whether the request ran cannot be known.
        """
        try:
            row = self.table.read(claim_key(full_key(request)))
        except StoreUnavailableError:
            row = None
        if row is None:
            raise RunError("", Code.KEY_HOME_GONE)
        return self.decide_known(KeyRecord.decode(row.value), request)

    def sweep(self, after: str, keep_ms: float, page: int) -> str:
        """Delete the expired claims of one page of rows.

        Args:
            after: The key that the page starts after.
            keep_ms: The age from which a claim is expired.
            page: The number of rows in a page.

        Returns:
            The key that the next page starts after, or an empty string after the last page.

        Raises:
            StoreUnavailableError: The store cannot be reached.
        """
        rows = self.table.scan(CLAIM_PREFIX, after, page)
        horizon = self.clock.wall() - keep_ms
        for row in rows:
            if claimed_at(row) < horizon:
                self.try_write(Write(row.key, None, row.version))
        return rows[-1].key if len(rows) == page else ""


def full_key(request: Request) -> str:
    """Return the team and key of a request."""
    return f"{request.team.name}/{request.key}"


def check_key(text: str) -> None:
    """Check the form of an Idempotency-Key.

    Raises:
        RefusalError: The key is too long or has characters other than visible ASCII.
    """
    if len(text) > MAX_KEY_LENGTH or not text.isascii() or not text.isprintable() or " " in text:
        raise RefusalError(f"expected up to {MAX_KEY_LENGTH} visible characters", Code.KEY_INVALID)
