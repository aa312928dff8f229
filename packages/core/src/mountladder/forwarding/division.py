# division.py -- Decides which stage services are divided among data centres
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Decides which stage services are divided among data centres."""

from __future__ import annotations

from collections import Counter

from eliot import log_message

from mountladder.configuration.backendserver import BackendServer
from mountladder.forwarding.directory import Directory

# A service with fewer servers has one coordinator for all data centres: with few servers, the next
# one of all is free much sooner than the next one of a data centre, and calls are fuller.
MIN_SERVERS = 10
# Minimum average number of servers per data centre: if one is lost, another one is left.
MIN_PER_DATACENTRE = 2.0
# A divided service remains so down to this average (hysteresis), so that a crash of servers doesn't
# move the coordination of its pieces as well.
MIN_DIVIDED_PER_DATACENTRE = 1.2


class Division:
    """Decides which services have a coordinator in each data centre rather than one for all.

    The decision depends on the list of servers alone, so that all instances make the same one. A
    short disagreement only makes batches less full.

    Args:
        directory: Lists the servers of each service.
        datacentre: The data centre of this instance.

    Attributes:
        divided: The services that are divided.
        undivided: The services that are never divided.
        changes: Counts the changes of divided, to invalidate caches that depend on it.
    """

    def __init__(self, directory: Directory, datacentre: str) -> None:
        self.directory = directory
        self.datacentre = datacentre
        self.divided: set[str] = set()
        self.undivided: frozenset[str] = frozenset()
        self.changes = 0
        directory.listeners.insert(0, self.update)

    def update(self) -> None:
        """Update the decisions after the list of servers has changed."""
        for service, servers in self.directory.services.items():
            divided = self.should_divide(service, servers)
            if divided != (service in self.divided):
                self.divided ^= {service}
                self.changes += 1
                log_message(
                    "service-divided" if divided else "service-undivided",
                    service=service,
                    servers=len(servers),
                    version=self.directory.newest.version,
                )

    def keep_undivided(self, services: frozenset[str]) -> None:
        """Have some services undivided, and no others."""
        self.undivided = services
        self.update()

    def should_divide(self, service: str, servers: tuple[BackendServer, ...]) -> bool:
        """Return whether a service with these servers should be divided."""
        if service in self.undivided:
            return False
        sizes = Counter(one.datacentre for one in servers)
        mean = len(servers) / max(1, len(sizes))
        if service in self.divided:
            return mean >= MIN_DIVIDED_PER_DATACENTRE
        return len(servers) >= MIN_SERVERS and mean >= MIN_PER_DATACENTRE

    def is_divided(self, service: str) -> bool:
        """Return whether a service has a coordinator in each data centre."""
        return service in self.divided

    def has_local_servers(self, service: str) -> bool:
        """Return whether this data centre has servers of a service."""
        return self.count(service, self.datacentre) > 0

    def count(self, service: str, datacentre: str) -> int:
        """Return the number of servers of a service in a data centre."""
        return sum(1 for one in self.directory.available(service) if one.datacentre == datacentre)

    def servers(self, service: str) -> tuple[BackendServer, ...]:
        """Return the servers that pieces coordinated here are sent to.

        If this data centre has no server left, these are the servers of all data centres, in case
        no other data centre can take its pieces.
        """
        servers = self.directory.available(service)
        if service not in self.divided:
            return servers
        local = tuple(one for one in servers if one.datacentre == self.datacentre)
        return local or servers
