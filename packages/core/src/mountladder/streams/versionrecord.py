# versionrecord.py -- Keeps the software versions of each service in the platform's store
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Keeps the software versions of each service in the platform's store."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import replace

from eliot import log_message
from gevent.event import Event

from mountladder.clocks.clock import Clock
from mountladder.errors import MountladderError
from mountladder.forwarding.readerelection import ReaderElection
from mountladder.store.position import Position
from mountladder.streams.servedversion import ServedVersion
from mountladder.streams.storecontact import StoreContact
from mountladder.streams.storedversions import StoredVersions
from mountladder.streams.versionhistory import VersionHistory
from mountladder.streams.versionstore import VersionStore

# How often an instance checks whether versions have to be written or removed, besides each time
# that the list of servers changes.
CHECK_MS = 1_000.0
POLL_MS = 50.0
# An instance that has read the versions so recently when it starts to poll the store has missed
# none.
RECENT_READ_MS = 5_000.0
RETRY_MS = 1_000.0
# How often the stored versions are confirmed. A confirmation serves for as long as the store keeps
# the changes of the list of servers since then, which is 20 s: some 8 s of them are left for an
# outage and the start after it.
CONFIRM_MS = 12_000.0


class VersionRecord:
    """Keeps the versions that have lately served each service in the platform's store.

    A process that starts after all instances have ended learns there which versions may have begun
    the streams that callers resume. Each instance reads them once after its start. The instance
    that polls the store writes each version when it is first listed, long before its last server
    can have left, and removes it once no stream of it can last any more.

    With them it confirms up to which position of the list of servers they are all. The first
    instance that polls the store confirms that again every few seconds, and when a server leaves. A
    process that reads them later compares the list with that position: a server that has left since
    may have been of a version that could not be written. Positions are of an era of the store, so
    that a confirmation does not hold for an older copy that is restored.

    Args:
        store: The platform's table of versions.
        history: The versions that this instance knows.
        reader_election: Knows which instance polls the store.
        contact: Decides whether versions may be missing in the store.
        clock: The clock.

    Attributes:
        stored: What is known to be in the store; see VersionStore.
        is_complete: Whether no version was missing at the last read.
        read_at: When the versions were last read.
        is_restored: Whether the store was restored from an older copy since it was last compared.
        may_lack_versions: Whether others may have used versions, since the last read, that this
            instance did not hear of: it lost the store, or did not poll it.
        is_first_reader: Returns whether this instance is the first of all that poll the store.
        confirmed_at: When this instance last confirmed that the stored versions are all.
        have_servers_left: Returns whether any server has left the list since a position, as the
            store knows it; raises StoreUnavailableError or BadRowError.
    """

    def __init__(
        self,
        store: VersionStore,
        history: VersionHistory,
        reader_election: ReaderElection,
        contact: StoreContact,
        clock: Clock,
    ) -> None:
        self.store = store
        self.history = history
        self.reader_election = reader_election
        self.contact = contact
        self.clock = clock
        self.stored = StoredVersions()
        self.is_complete = False
        self.read_at = float("-inf")
        self.is_restored = False
        self.may_lack_versions = False
        self.confirmed_at = float("-inf")
        self.is_first_reader: Callable[[], bool] = lambda: True
        self.have_servers_left: Callable[[Position], bool] = lambda since: False
        self.wake = Event()
        history.on_change = self.wake.set

    def run(self) -> None:
        """Read the versions, then write and remove them while this instance polls the store."""
        # The list of servers comes first: a version that has left it by then is in the store.
        while self.history.known_since is None:
            self.clock.sleep(POLL_MS)
        while not self.read():
            self.clock.sleep(RETRY_MS)
        was_polling = False
        while True:
            is_polling = self.reader_election.reading
            if is_polling and not was_polling:
                self.may_lack_versions |= self.clock.now() - self.read_at > RECENT_READ_MS
            was_polling = is_polling
            if (
                is_polling
                and not (self.contact.is_unbroken or self.read())
                or is_polling
                and not self.write()
            ):
                self.clock.sleep(RETRY_MS)
            self.clock.wait(self.wake, CHECK_MS)
            self.wake.clear()

    def read(self) -> bool:
        """Read all versions, and return whether the store answered."""
        try:
            found = self.store.read()
            have_left = self.have_servers_left_since(found)
        except MountladderError as error:
            log_message("versions-read-failed", reason=str(error))
            return False
        self.stored = found
        self.read_at = self.clock.now()
        self.may_lack_versions = False
        self.is_complete = self.contact.handle_read(found, have_left)
        log_message(
            "versions-read",
            versions=_texts(found.versions),
            listed=_texts(self.history.listed),
            era=found.era,
            confirmed_era=found.confirmed_era,
            confirmed_version=found.confirmed_version,
            servers_left=have_left,
            complete=self.is_complete,
        )
        self.history.add_earlier(found.versions, self.is_complete)
        return True

    def have_servers_left_since(self, found: StoredVersions) -> bool:
        """Return whether servers have left since versions were confirmed, unheard of here.

        Raises:
            StoreUnavailableError: The store did not answer.
            BadRowError: Its answer cannot be read.
        """
        position = found.confirmed_position
        if position is None or self.contact.is_unbroken:
            return False
        return self.have_servers_left(position)

    def write(self) -> bool:
        """Write new versions and remove past ones; return whether the store answered."""
        try:
            if self.is_restored:
                self.stored = self.store.read()
                self.is_restored = False
            # What is listed by now is among the recent versions.
            position, now = self.history.directory.position, self.clock.now()
            recent = self.history.recent_leaving()
            changed = {
                one: leaving for one, leaving in recent.items() if self.differs(one, leaving)
            }
            removed = sorted(self.stored.versions.keys() - recent.keys())
            if removed and self.may_lack_versions:
                # A read has them kept for another minute.
                return self.read()
            stored = self.stored
            is_due = self.is_confirmation_due(position)
            confirmed = position if is_due else None
            if not changed and not removed and not is_due:
                return True
            self.store.change(changed, removed, confirmed)
        except MountladderError as error:
            log_message("versions-write-failed", reason=str(error))
            return False
        self.stored = replace(stored, versions=recent)
        if confirmed is not None:
            self.stored = StoredVersions(recent, stored.era, confirmed.era, confirmed.version)
            self.confirmed_at = now
        log_message(
            "versions-written",
            changed=_texts(changed),
            removed=_texts(removed),
            confirmed_era=confirmed.era if confirmed else None,
            confirmed_version=confirmed.version if confirmed else None,
        )
        return True

    def is_confirmation_due(self, position: Position) -> bool:
        """Return whether this instance has to confirm that all versions are stored.

        Args:
            position: Up to where its list of servers is complete.
        """
        if position.era != self.stored.era or position == self.stored.confirmed_position:
            return False
        if not self.stored.is_confirmed:
            return self.contact.is_complete(self.stored)
        has_changed = self.history.left_at >= self.confirmed_at
        is_old = self.clock.now() - self.confirmed_at >= CONFIRM_MS
        is_due = self.contact.is_unbroken and (has_changed or is_old)
        return is_due and self.is_first_reader()

    def differs(self, version: ServedVersion, leaving: bool) -> bool:
        """Return whether the store does not hold a version, or holds it as leaving or not."""
        return self.stored.versions.get(version) is not leaving

    def handle_loss(self) -> None:
        """Have rows read before any is removed, since the store does not answer this instance."""
        self.may_lack_versions = True

    def handle_restore(self) -> None:
        """Have the store compared with what is known, since it was restored from an older copy."""
        self.is_restored = True
        self.wake.set()


def _texts(versions: Iterable[ServedVersion]) -> list[str]:
    return [f"{one.service}/{one.version}" for one in sorted(versions)]
