# division.py -- Which services are worked on in each data centre by itself
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Which services are worked on in each data centre by itself."""

from __future__ import annotations

from collections import Counter

from eliot import log_message

from mountladder.configuration.backendserver import BackendServer
from mountladder.forwarding.directory import Directory

# A service with fewer servers is worked on in one place: with a handful, the next one that is free
# anywhere is free much sooner than the next one of a data centre, and calls are fuller.
LEAST_SERVERS = 10
# The least servers in a data centre on the average: one that is lost leaves another one there.
LEAST_PER_DATACENTRE = 2.0
# A service that is divided stays so down to this many, so that a crash of servers does not move
# its work as well.
KEPT_PER_DATACENTRE = 1.2


class Division:
    """Tells which services have one place where pieces meet in each data centre, not one for all.

    It follows from the list of servers, so that all instances come to the same answer. Two that do
    not for a moment cost batches that are less full, and nothing worse.

    Args:
        directory: Which servers there are.
        datacentre: The data centre of this instance.

    Attributes:
        divided: The services that are divided.
        changes: Grows with each change of that, for those that keep what they derive.
    """

    def __init__(self, directory: Directory, datacentre: str) -> None:
        self.directory = directory
        self.datacentre = datacentre
        self.divided: set[str] = set()
        self.changes = 0
        directory.listeners.insert(0, self.renew)

    def renew(self) -> None:
        """Decide again, after the list of servers has changed."""
        for service, servers in self.directory.services.items():
            divided = self.is_worth_it(service, servers)
            if divided != (service in self.divided):
                self.divided ^= {service}
                self.changes += 1
                log_message(
                    "service-divided" if divided else "service-joined",
                    service=service,
                    servers=len(servers),
                    version=self.directory.newest.version,
                )

    def is_worth_it(self, service: str, servers: tuple[BackendServer, ...]) -> bool:
        """Tell whether a service with some servers is to be divided."""
        sizes = Counter(one.datacentre for one in servers)
        mean = len(servers) / max(1, len(sizes))
        if service in self.divided:
            return mean >= KEPT_PER_DATACENTRE
        return len(servers) >= LEAST_SERVERS and mean >= LEAST_PER_DATACENTRE

    def is_divided(self, service: str) -> bool:
        """Tell whether each data centre works on a service by itself."""
        return service in self.divided

    def has_own(self, service: str) -> bool:
        """Tell whether this data centre has servers of a service."""
        return self.count(service, self.datacentre) > 0

    def count(self, service: str, datacentre: str) -> int:
        """Return how many servers of a service a data centre has."""
        return sum(1 for one in self.directory.available(service) if one.datacentre == datacentre)

    def servers(self, service: str) -> tuple[BackendServer, ...]:
        """Return the servers that pieces which meet here are made at.

        Where the data centre has none left these are all, in case no other one takes its pieces.
        """
        servers = self.directory.available(service)
        if service not in self.divided:
            return servers
        own = tuple(one for one in servers if one.datacentre == self.datacentre)
        return own or servers
