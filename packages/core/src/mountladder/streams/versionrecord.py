# versionrecord.py -- Keeps the software versions of each service in the platform's store
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Keeps the software versions of each service in the platform's store."""

from __future__ import annotations

from collections.abc import Iterable

from eliot import log_message
from gevent.event import Event

from mountladder.clocks.clock import Clock
from mountladder.errors import MountladderError
from mountladder.forwarding.readerelection import ReaderElection
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


class VersionRecord:
    """Keeps the versions that have lately served each service in the platform's store.

    A process that starts after all instances have ended learns there which versions may have begun
    the streams that callers resume. Each instance reads them once after its start. The instance
    that polls the store writes each version when it is first listed, long before its last server
    can have left, and removes it once no stream of it can last any more. With them it confirms that
    they are all; the confirmation names the era of the store, so that it does not hold for an older
    copy that is restored.

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
        except MountladderError as error:
            log_message("versions-read-failed", reason=str(error))
            return False
        self.stored = found
        self.read_at = self.clock.now()
        self.may_lack_versions = False
        self.is_complete = self.contact.handle_read(found)
        log_message(
            "versions-read",
            versions=_texts(found.versions),
            listed=_texts(self.history.listed),
            era=found.era,
            confirmed_era=found.confirmed_era,
            complete=self.is_complete,
        )
        self.history.add_earlier(found.versions, self.is_complete)
        return True

    def write(self) -> bool:
        """Write new versions and remove past ones; return whether the store answered."""
        try:
            if self.is_restored:
                self.stored = self.store.read()
                self.is_restored = False
            recent = self.history.recent_leaving()
            changed = {
                one: leaving for one, leaving in recent.items() if self.differs(one, leaving)
            }
            removed = sorted(self.stored.versions.keys() - recent.keys())
            if removed and self.may_lack_versions:
                # A read has them kept for another minute.
                return self.read()
            stored = self.stored
            is_due = not stored.is_confirmed and self.contact.is_complete(stored)
            confirmed_era = stored.era if is_due else None
            if not changed and not removed and not is_due:
                return True
            self.store.change(changed, removed, confirmed_era)
        except MountladderError as error:
            log_message("versions-write-failed", reason=str(error))
            return False
        confirmed = stored.era if is_due else stored.confirmed_era
        self.stored = StoredVersions(recent, stored.era, confirmed)
        log_message(
            "versions-written",
            changed=_texts(changed),
            removed=_texts(removed),
            confirmed_era=confirmed_era,
        )
        return True

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
