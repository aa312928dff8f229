# coldchecks.py -- Asks the servers of a data centre that is used again whether they are cold
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Asks the servers of a data centre that is used again whether they are cold."""

from __future__ import annotations

from collections.abc import Callable

import gevent
from eliot import log_message

from mountladder.clocks.clock import Clock
from mountladder.configuration.backendserver import BackendServer
from mountladder.forwarding.cataloguefollower import CatalogueFollower
from mountladder.forwarding.coldservers import ColdServers
from mountladder.forwarding.directory import Directory
from mountladder.forwarding.ranking import prompts_topic
from mountladder.forwarding.service import Service
from mountladder.forwarding.upstream import Upstream

# A health check is answered at once, without waiting for a slot; a server that takes longer counts
# as one that does not answer.
CHECK_TIMEOUT_MS = 500.0


class ColdChecks:
    """Checks the health of the servers of a data centre when it is undrained.

    Servers may have become cold during the drain without a report in their entries. Without an
    answer they count as cold for the time of a start, which leaves a warm data centre idle for
    seconds, and lets a server that is cold for longer be overloaded. Only the instance that sends
    requests to cold servers asks, once for each drain.

    Args:
        directory: The list of backend servers, and the drains.
        follower: Holds the catalogue in force.
        cold: Receives the answers.
        upstream: Calls the servers.
        clock: The clock.

    Attributes:
        on_checked: Called after each answer, since more requests may be sent now.
    """

    def __init__(
        self,
        directory: Directory,
        follower: CatalogueFollower,
        cold: ColdServers,
        upstream: Upstream,
        clock: Clock,
    ) -> None:
        self.directory = directory
        self.follower = follower
        self.cold = cold
        self.upstream = upstream
        self.clock = clock
        self.on_checked: Callable[[], None] = lambda: None
        self.seen: dict[str, float] = dict(directory.drains.undrained_at)
        directory.drains.listeners.append(self.check_undrained)

    def check_undrained(self) -> None:
        """Check the servers of each data centre that was undrained since the last call."""
        for datacentre, undrained_at in self.directory.drains.undrained_at.items():
            if self.seen.get(datacentre) != undrained_at:
                self.seen[datacentre] = undrained_at
                self.check_datacentre(datacentre)

    def check_datacentre(self, datacentre: str) -> None:
        """Check the servers of a data centre whose cold servers this instance may use."""
        for service in self.services():
            for server in self.directory.services.get(service.name, ()):
                if server.datacentre == datacentre:
                    gevent.spawn(self.check, server, service.health_path)

    def services(self) -> list[Service]:
        """Return the services with a limit for cold servers that this instance coordinates."""
        catalogue = self.follower.catalogue
        services = catalogue.services.values() if catalogue is not None else ()
        return [
            one
            for one in services
            if one.cold_per_s
            and one.health_path
            and self.cold.leadership.leads(
                one.name if one.batch is not None else prompts_topic(one.name)
            )
        ]

    def check(self, server: BackendServer, health_path: str) -> None:
        """Ask a server how much longer it is cold, and record its answer."""
        now = self.clock.now()
        cold_ms = self.upstream.cold_ms(server, health_path, CHECK_TIMEOUT_MS)
        log_message("cold-server-checked", server=server.name, cold_ms=cold_ms)
        if cold_ms is not None:
            self.cold.record_check(server, now, cold_ms)
            self.on_checked()
