# storecontact.py -- Decides whether the versions in a restored store may be taken for all
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Decides whether the versions in a restored store may be taken for all."""

from __future__ import annotations

from eliot import log_message

from mountladder.clocks.clock import Clock
from mountladder.forwarding.fleet import Fleet
from mountladder.streams.originregistry import MAX_STREAM_MS
from mountladder.streams.storedversions import StoredVersions
from mountladder.streams.versionhistory import VersionHistory

CHECK_MS = 500.0
# A list of servers that was confirmed so recently is current.
MAX_LIST_AGE_MS = 1_500.0
# A peer that is silent for so many heartbeat intervals may be cut off.
MISSED_INTERVALS = 1.5
# What was found so long ago tells nothing, since the process did not run meanwhile.
MAX_CHECK_AGE_MS = 3 * CHECK_MS


class StoreContact:
    """Tracks whether this instance has heard of all versions that others read from the store.

    A store that is restored from an older copy loses the rows of versions that were written since.
    The rows that it holds are all again once an instance has confirmed them that knew all versions
    until then, or once no stream can last any more that began before. The same holds where servers
    have left the list since the rows were confirmed: their versions may be in none of them.

    Args:
        fleet: The other instances.
        history: The versions that this instance knows.
        clock: The clock.

    Attributes:
        is_unbroken: Whether this instance has heard of all versions so far: it has read them once,
            and since then its list of servers was current, or nobody else was out of reach.
        hears_since: Since when its list of servers has been current at each check; infinite while
            it is not.
        checked_at: When that was last checked.
        era: The newest era of the store that is known, or None.
        era_since: Since when it is known.
        is_restored: Whether this instance saw an earlier era.
        knows_earlier: Whether it knows all versions that served in the eras before.
    """

    def __init__(self, fleet: Fleet, history: VersionHistory, clock: Clock) -> None:
        self.fleet = fleet
        self.history = history
        self.clock = clock
        self.is_unbroken = False
        self.hears_since = float("inf")
        self.checked_at = float("-inf")
        self.era: int | None = None
        self.era_since = float("-inf")
        self.is_restored = False
        self.knows_earlier = False

    def run(self) -> None:
        """Check again and again whether this instance still hears of all versions."""
        while True:
            self.check()
            self.clock.sleep(CHECK_MS)

    def check(self) -> None:
        """Check whether this instance still hears of all versions."""
        is_late = self.clock.now() - self.checked_at > MAX_CHECK_AGE_MS
        self.checked_at = self.clock.now()
        hears_all = not is_late and self.hears_all()
        self.hears_since = min(self.hears_since, self.checked_at) if hears_all else float("inf")
        if self.is_unbroken and not hears_all:
            self.is_unbroken = False
            log_message("versions-may-be-missed", list_age_ms=round(self.fleet.list_age.ms()))

    def hears_all(self) -> bool:
        """Return whether the list of servers is current, or nobody can know a newer one."""
        if self.fleet.list_age.ms() <= MAX_LIST_AGE_MS:
            return True
        links = [self.fleet.links.get(one.peer) for one in self.fleet.targets()]
        now = self.clock.now()
        return all(
            link is not None
            and now - link.received_at <= MISSED_INTERVALS * self.fleet.interval_ms(link.peer.peer)
            for link in links
        )

    def handle_restore(self) -> None:
        """Note whether all versions are known, since the store was restored from an older copy."""
        self.era, self.era_since = self.fleet.era_tracker.newest, self.clock.now()
        self.is_restored = True
        has_checked = self.clock.now() - self.checked_at <= MAX_CHECK_AGE_MS
        self.knows_earlier = self.is_unbroken and has_checked
        log_message("versions-in-restored-store", era=self.era, known_here=self.knows_earlier)

    def handle_read(self, stored: StoredVersions, have_servers_left: bool = False) -> bool:
        """Note what was read, and return whether no version can be missing in it.

        Args:
            stored: What was read.
            have_servers_left: Whether servers have left since it was confirmed that this instance
                may not have heard of.

        Returns:
            Whether all versions that may have begun a stream that still lasts are stored, or known
            to this instance.
        """
        self.fleet.era_tracker.observe(stored.era, "store")
        if self.era is None:
            self.era, self.era_since = stored.era, self.clock.now()
        is_complete = self.is_complete(stored, have_servers_left)
        if is_complete and self.fleet.list_age.ms() <= MAX_LIST_AGE_MS:
            self.is_unbroken = True
        return is_complete

    def is_complete(self, stored: StoredVersions, have_servers_left: bool = False) -> bool:
        """Return whether no version can be missing among those that are stored or known here."""
        if stored.is_confirmed:
            return not have_servers_left or self.clock.now() - self.hears_since >= MAX_STREAM_MS
        if self.clock.now() - self.era_since >= MAX_STREAM_MS:
            return True
        if self.is_restored:
            return self.knows_earlier and self.history.is_complete
        # Builds that do not confirm versions have kept them, or nothing was ever stored.
        return stored.confirmed_era is None
