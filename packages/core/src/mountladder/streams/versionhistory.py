# versionhistory.py -- The software versions that have lately served each service
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The software versions that have lately served each service."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable

from mountladder.clocks.clock import Clock
from mountladder.configuration.softwareversion import version_of
from mountladder.forwarding.directory import Directory
from mountladder.streams.originregistry import MAX_STREAM_MS


class VersionHistory:
    """Tracks the versions of listed servers for as long as a stream that they began can last.

    Args:
        directory: Lists the backend servers.
        clock: The clock.

    Attributes:
        listed: The versions of the listed servers, by service.
        unlisted_at: When a version was last listed, by service and version.
        on_several: Called with each service of which a second version has been listed.
    """

    def __init__(self, directory: Directory, clock: Clock) -> None:
        self.directory = directory
        self.clock = clock
        self.listed: dict[str, frozenset[str]] = {}
        self.unlisted_at: dict[tuple[str, str], float] = {}
        self.on_several: Callable[[str], None] = lambda service: None
        directory.listeners.append(self.update)

    def update(self) -> None:
        """Update the versions after the list of servers has changed."""
        found: defaultdict[str, set[str]] = defaultdict(set)
        for record in self.directory.records.values():
            if record.server is not None:
                found[record.service].add(version_of(record.server))
        before, now = self.listed, self.clock.now()
        had_several = {service for service in found if len(self.recent(service)) > 1}
        self.listed = {service: frozenset(versions) for service, versions in found.items()}
        for service, versions in before.items():
            for version in versions - self.listed.get(service, frozenset()):
                self.unlisted_at[service, version] = now
        self.unlisted_at = {
            key: at for key, at in self.unlisted_at.items() if now - at < MAX_STREAM_MS
        }
        for service in self.listed:
            if service not in had_several and len(self.recent(service)) > 1:
                self.on_several(service)

    def recent(self, service: str) -> frozenset[str]:
        """Return the versions of a service that may have begun a stream that still lasts."""
        now = self.clock.now()
        unlisted = (
            version
            for (name, version), at in self.unlisted_at.items()
            if name == service and now - at < MAX_STREAM_MS
        )
        return self.listed.get(service, frozenset()).union(unlisted)

    def several(self) -> list[str]:
        """Return the services that several versions have lately served."""
        return [service for service in self.listed if len(self.recent(service)) > 1]
