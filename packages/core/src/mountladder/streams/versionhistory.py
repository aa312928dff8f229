# versionhistory.py -- The software versions that have lately served each service
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The software versions that have lately served each service."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Mapping

from mountladder.clocks.clock import Clock
from mountladder.configuration.softwareversion import version_of
from mountladder.forwarding.directory import Directory
from mountladder.streams.originregistry import MAX_STREAM_MS
from mountladder.streams.servedversion import ServedVersion


class VersionHistory:
    """Tracks the versions of listed servers for as long as a stream that they began can last.

    An instance that has just started does not know which versions were listed before; it adds those
    that the platform's store holds.

    Args:
        directory: Lists the backend servers.
        clock: The clock.

    Attributes:
        listed: The versions of the listed servers.
        unlisted_at: When each version that is not listed any more was last listed.
        servers: The ids of the listed servers.
        left_at: When a server was last found to have left the list.
        used_at: When each of those may last have been in use all the same, where that is later.
        leaving: The versions whose servers all leave, or all did when they were last listed.
        known_since: Since when the list of servers has been known, or None.
        has_earlier: Whether all versions that served before that have been added.
        on_change: Called after a change of the recent versions.
        on_several: Called with each service of which a second version has become known.
    """

    def __init__(self, directory: Directory, clock: Clock) -> None:
        self.directory = directory
        self.clock = clock
        self.listed: frozenset[ServedVersion] = frozenset()
        self.servers: frozenset[str] = frozenset()
        self.left_at = float("-inf")
        self.unlisted_at: dict[ServedVersion, float] = {}
        self.used_at: dict[ServedVersion, float] = {}
        self.leaving: frozenset[ServedVersion] = frozenset()
        self.known_since: float | None = None
        self.has_earlier = False
        self.on_change: Callable[[], None] = lambda: None
        self.on_several: Callable[[str], None] = lambda service: None
        directory.listeners.append(self.update)
        directory.has_left = self.has_left

    @property
    def is_complete(self) -> bool:
        """Return whether all versions are known that may have begun a stream that still lasts."""
        if self.has_earlier:
            return True
        return self.known_since is not None and self.clock.now() - self.known_since >= MAX_STREAM_MS

    def update(self) -> None:
        """Update the versions after the list of servers has changed."""
        if self.known_since is None and self.directory.ready:
            self.known_since = self.clock.now()
        listed, staying, servers = set(), set(), set()
        for record in self.directory.records.values():
            if record.server is not None:
                servers.add(record.id)
                served = ServedVersion(record.service, version_of(record.server))
                listed.add(served)
                if not self.directory.is_leaving(record.server):
                    staying.add(served)
        unlisted_at = self.unlisted_at | dict.fromkeys(self.listed, self.clock.now())
        self.change(frozenset(listed), unlisted_at, (self.leaving | listed) - staying)
        has_left, self.servers = bool(self.servers - servers), frozenset(servers)
        if has_left:
            self.left_at = self.clock.now()
            self.on_change()

    def add_earlier(self, versions: Mapping[ServedVersion, bool], is_complete: bool) -> None:
        """Add the versions that served before this instance knew the list of servers.

        Args:
            versions: The versions, and whether all servers of each were leaving.
            is_complete: Whether these are all that served then.
        """
        self.has_earlier |= is_complete
        unknown = versions.keys() - self.all_recent()
        unlisted_at = self.unlisted_at | dict.fromkeys(unknown, self.clock.now())
        self.change(self.listed, unlisted_at, self.leaving.union(filter(versions.get, unknown)))

    def change(
        self,
        listed: frozenset[ServedVersion],
        unlisted_at: Mapping[ServedVersion, float],
        leaving: frozenset[ServedVersion],
    ) -> None:
        """Replace the versions, without those that no stream can have begun that still lasts."""
        before, had_several = self.recent_leaving(), self.several()
        self.listed = listed
        self.unlisted_at = {
            one: at
            for one, at in unlisted_at.items()
            if one not in listed and self.is_recent(one, at)
        }
        self.used_at = {one: at for one, at in self.used_at.items() if one in self.unlisted_at}
        self.leaving = leaving & self.all_recent()
        if self.recent_leaving() != before:
            self.on_change()
        for service in sorted(self.several() - had_several):
            self.on_several(service)

    def mark_used(self, since: float) -> None:
        """Note that versions which have not been listed since a time or later may be in use now."""
        now = self.clock.now()
        for one, at in self.unlisted_at.items():
            if at >= since and self.is_recent(one, at):
                self.used_at[one] = now

    def is_recent(self, version: ServedVersion, unlisted_at: float) -> bool:
        """Return whether a version that is not listed may have begun a stream that still lasts."""
        last_at = max(unlisted_at, self.used_at.get(version, unlisted_at))
        return self.clock.now() - last_at < MAX_STREAM_MS

    def recent_leaving(self) -> dict[ServedVersion, bool]:
        """Return the recent versions, and whether all servers of each are or were leaving."""
        return {one: one in self.leaving for one in self.all_recent()}

    def has_left(self, service: str, version: str) -> bool:
        """Return whether all servers of a version leave or have left, so that none comes back."""
        return ServedVersion(service, version) in self.leaving

    def all_recent(self) -> frozenset[ServedVersion]:
        """Return the versions that may have begun a stream that still lasts."""
        return self.listed.union(
            one for one, at in self.unlisted_at.items() if self.is_recent(one, at)
        )

    def recent(self, service: str) -> frozenset[str]:
        """Return the versions of a service that may have begun a stream that still lasts."""
        return frozenset(one.version for one in self.all_recent() if one.service == service)

    def several(self) -> frozenset[str]:
        """Return the services that several versions have lately served."""
        versions: defaultdict[str, set[str]] = defaultdict(set)
        for one in self.all_recent():
            versions[one.service].add(one.version)
        return frozenset(service for service, found in versions.items() if len(found) > 1)
