# follower.py -- Follows the configuration from the store and from peers
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Follows the configuration from the store and from peers."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from mountladder.clocks.clock import Clock
from mountladder.configuration.change import Change
from mountladder.configuration.changelog import ChangeLog
from mountladder.configuration.configuration import Configuration
from mountladder.errors import BadRowError, StoreUnavailableError

# Max. number of changes held for peers.
MAX_CHANGES = 512


class Follower:
    """Follows the configuration from the store and from peers; the revision never decreases.

    Args:
        log: The log in the store.
        clock: The clock by which ages are measured.

    Attributes:
        configuration: The configuration in force on this instance.
        checked_at: When the store was last known to hold nothing newer, or None.
        changes: The latest changes, which are sent to peers with an older revision.
        listeners: Called with the changes that were adopted.
        reads: The number of reads of the store.
    """

    def __init__(self, log: ChangeLog, clock: Clock) -> None:
        self.log = log
        self.clock = clock
        self.configuration = Configuration()
        self.checked_at: float | None = None
        self.changes: list[Change] = []
        self.listeners: list[Callable[[Sequence[Change]], None]] = []
        self.reads = 0

    @property
    def ready(self) -> bool:
        """Return whether the configuration was confirmed to be the newest at least once."""
        return self.checked_at is not None

    def age_ms(self) -> float:
        """Return the time since the configuration was last confirmed, infinite if never."""
        if self.checked_at is None:
            return float("inf")
        return self.clock.now() - self.checked_at

    def poll(self) -> bool:
        """Read the store once; return whether that succeeded."""
        started = self.clock.now()
        self.reads += 1
        try:
            if not self.ready:
                self.replace(self.log.load(self.configuration))
            else:
                self.catch_up()
        except (StoreUnavailableError, BadRowError):
            return False
        self.confirm(started)
        return True

    def catch_up(self) -> None:
        """Read the head, and any changes after the revision in force."""
        newest, _ = self.log.head()
        while self.configuration.revision < newest:
            self.reads += 1
            if not self.adopt(self.log.since(self.configuration.revision)):
                raise BadRowError("the change log ends before its head")

    def adopt(self, changes: Sequence[Change]) -> bool:
        """Adopt the changes that directly follow the revision in force; return whether any did."""
        adopted: list[Change] = []
        configuration = self.configuration
        for change in changes:
            if change.revision == configuration.revision + 1:
                configuration = configuration.after(change)
                adopted.append(change)
        if not adopted:
            return False
        self.configuration = configuration
        self.changes = (self.changes + adopted)[-MAX_CHANGES:]
        for listener in self.listeners:
            listener(adopted)
        return True

    def replace(self, configuration: Configuration) -> None:
        """Adopt a complete configuration if its revision is higher."""
        if configuration.revision > self.configuration.revision:
            self.configuration = configuration
            self.changes = []

    def confirm(self, at: float) -> None:
        """Record that the revision in force was the newest in the store at a time."""
        if self.checked_at is None or at > self.checked_at:
            self.checked_at = at

    def since(self, revision: int) -> list[Change] | None:
        """Return the changes after a revision, or None if some of them are no longer held."""
        if revision >= self.configuration.revision:
            return []
        if not self.changes or self.changes[0].revision > revision + 1:
            return None
        return [change for change in self.changes if change.revision > revision]
