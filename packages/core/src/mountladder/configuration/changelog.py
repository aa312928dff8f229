# changelog.py -- The log of configuration changes in the store
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The log of configuration changes in the store."""

from __future__ import annotations

import json
from collections.abc import Sequence

from eliot import log_message

from mountladder.clocks.clock import Clock
from mountladder.configuration.change import Change
from mountladder.configuration.configuration import Configuration
from mountladder.configuration.document import Document
from mountladder.errors import (
    MALFORMED,
    BadRowError,
    ConditionFailedError,
    RevisionConflictError,
    StoreAmbiguousError,
    StoreUnavailableError,
)
from mountladder.store.objectstore import ObjectStore
from mountladder.store.row import Row
from mountladder.store.table import Table
from mountladder.store.write import ABSENT, Write

HEAD_KEY = "config/head"
CHANGE_PREFIX = "config/change/"
SNAPSHOT_KEY = "config/snapshot"
# A snapshot is written every so many revisions.
REVISIONS_PER_SNAPSHOT = 32
# Max. number of changes read at once.
PAGE_ROWS = 100
# A commit with an unknown outcome is retried this often, after a pause that doubles each time.
COMMIT_ATTEMPTS = 6
COMMIT_RETRY_MS = 200.0


class ChangeLog:
    """Reads and appends to the change log in the platform's table service.

    The head row holds the newest revision. A change is accepted by one transaction that writes
    its row, which must be absent, and updates the head, which must be unchanged. If the answer is
    lost, the same transaction is sent again and the operation ids are compared, so that a write
    that is still in flight cannot take effect after its failure was reported to its author.
    """

    def __init__(self, table: Table, objects: ObjectStore, clock: Clock) -> None:
        self.table = table
        self.objects = objects
        self.clock = clock

    def head(self) -> tuple[int, int]:
        """Return the newest revision and the version of the head row."""
        row = self.table.read(HEAD_KEY)
        if row is None:
            return 0, ABSENT
        return _revision(row), row.version

    def since(self, revision: int, limit: int = PAGE_ROWS) -> list[Change]:
        """Return up to `limit` changes after a revision, oldest first."""
        after = _change_key(revision)
        changes = [Change.decode(row.value) for row in self.table.scan(CHANGE_PREFIX, after, limit)]
        for number, change in enumerate(changes, revision + 1):
            if change.revision != number:
                raise BadRowError(f"change {number} is missing; change {change.revision} was found")
        return changes

    def load(self, known: Configuration | None = None) -> Configuration:
        """Return the newest configuration, built from a known one, a snapshot and later changes."""
        configuration = known or Configuration()
        newest, _ = self.head()
        if newest - configuration.revision > REVISIONS_PER_SNAPSHOT:
            configuration = self.snapshot(configuration)
        while configuration.revision < newest:
            changes = self.since(configuration.revision)
            if not changes:
                raise BadRowError(f"change {configuration.revision + 1} is missing")
            for change in changes:
                configuration = configuration.after(change)
        return configuration

    def snapshot(self, known: Configuration) -> Configuration:
        """Return the newest snapshot, or the known configuration if that is not older."""
        row = self.table.read(SNAPSHOT_KEY)
        if row is None or _revision(row) <= known.revision:
            return known
        value = self.objects.get(_snapshot_name(_revision(row)))
        return Configuration.decode(value) if value is not None else known

    def append(
        self,
        base: Configuration,
        operation: str,
        author: str,
        puts: Sequence[Document],
        deletes: Sequence[str],
    ) -> Configuration:
        """Append a change to the log and return the resulting configuration.

        Args:
            base: The configuration that the change is based on.
            operation: An id of the change; see Change.
            author: The author.
            puts: The documents to add or replace.
            deletes: The keys of the documents to remove.

        Raises:
            RevisionConflictError: Another change was accepted first; nothing was written.
            StoreUnavailableError: The store is unavailable; nothing was written.
            StoreAmbiguousError: It is not known whether the change was accepted.
        """
        change = Change(
            base.revision + 1, operation, author, self.clock.wall(), tuple(puts), tuple(deletes)
        )
        result = base.after(change)
        revision, version = self.head()
        if revision != base.revision and not self.is_own(change):
            raise RevisionConflictError(base.revision, revision)
        if revision == base.revision:
            self.accept(change, version)
        if result.revision % REVISIONS_PER_SNAPSHOT == 0:
            self.try_snapshot(result)
        return result

    def accept(self, change: Change, head_version: int) -> None:
        """Write a change, and retry while it is not known whether it took effect."""
        head = json.dumps({"revision": change.revision}).encode()
        writes = (
            Write(HEAD_KEY, head, head_version),
            Write(_change_key(change.revision), change.encode(), ABSENT),
        )
        for attempt in range(COMMIT_ATTEMPTS):
            try:
                self.table.commit(writes)
                return
            except StoreAmbiguousError:
                self.clock.sleep(COMMIT_RETRY_MS * 2**attempt)
            except ConditionFailedError as error:
                if self.is_own(change):
                    return
                raise RevisionConflictError(change.revision - 1, self.head()[0]) from error
        raise StoreAmbiguousError(
            f"change {change.operation} based on revision {change.revision - 1}: outcome unknown"
        )

    def is_own(self, change: Change) -> bool:
        """Return whether the change accepted at this revision has the same operation id."""
        row = self.table.read(_change_key(change.revision))
        return row is not None and Change.decode(row.value).operation == change.operation

    def try_snapshot(self, configuration: Configuration) -> None:
        """Write a snapshot; a failure is only logged, since the change itself was accepted."""
        try:
            self.write_snapshot(configuration)
        except (StoreUnavailableError, StoreAmbiguousError, ConditionFailedError) as error:
            log_message("snapshot-failed", revision=configuration.revision, reason=str(error))

    def write_snapshot(self, configuration: Configuration) -> None:
        """Write a snapshot and its pointer row, which never goes back to an older revision."""
        self.objects.put(_snapshot_name(configuration.revision), configuration.encode())
        row = self.table.read(SNAPSHOT_KEY)
        if row is None or _revision(row) < configuration.revision:
            value = json.dumps({"revision": configuration.revision}).encode()
            self.table.commit([Write(SNAPSHOT_KEY, value, row.version if row else ABSENT)])


def _change_key(revision: int) -> str:
    return f"{CHANGE_PREFIX}{revision:012d}"


def _snapshot_name(revision: int) -> str:
    return f"config/snapshot/{revision:012d}"


def _revision(row: Row) -> int:
    try:
        return int(json.loads(row.value)["revision"])
    except MALFORMED as error:
        raise BadRowError(f"{row.key}: not a revision: {error}") from error
