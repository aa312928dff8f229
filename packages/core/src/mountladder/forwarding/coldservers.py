# coldservers.py -- Rate limits for backend servers that have just started
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Rate limits for backend servers that have just started."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable

from eliot import log_message

from mountladder.clocks.clock import Clock
from mountladder.configuration.backendserver import BackendServer
from mountladder.forwarding.cataloguefollower import CatalogueFollower
from mountladder.forwarding.directory import Directory
from mountladder.forwarding.leadership import Leadership
from mountladder.forwarding.serverrecord import ID_LABEL, SERVICE_LABEL

SECOND_MS = 1_000.0
# Returned where no limit applies.
UNLIMITED = 2**31


class ColdServers:
    """Limits the requests that all instances together send to servers in their first seconds.

    A cold server that receives well over its service's rate crashes, and the requests it is running
    are lost. So only the service's coordinator sends requests to cold servers, or decides who does,
    and never more than the rate within any second. Servers tolerate somewhat more than 1.5 times
    the rate, so two instances that each take themselves for the coordinator do no harm. All other
    instances send nothing to cold servers. That includes an instance that takes itself for the
    coordinator only because it reaches no other (`Leadership`).

    Args:
        directory: The list of backend servers.
        follower: Holds the catalogue in force, which has the rates.
        leadership: Decides whether this instance is certain to coordinate a service.
        clock: The clock.

    Attributes:
        sent_at: Times of the requests sent to each cold server within the last second, by server
            name.
        checked: When servers were asked for their health, and until when they are cold by their
            answers, by server name.
    """

    def __init__(
        self,
        directory: Directory,
        follower: CatalogueFollower,
        leadership: Leadership,
        clock: Clock,
    ) -> None:
        self.directory = directory
        self.follower = follower
        self.leadership = leadership
        self.clock = clock
        self.sent_at: dict[str, deque[float]] = {}
        self.checked: dict[str, tuple[float, float]] = {}

    def is_cold(self, server: BackendServer) -> bool:
        """Return whether a server reported to be cold, or may be after its data centre's return."""
        return bool(self.cold((server,)))

    def cold(self, servers: Iterable[BackendServer]) -> frozenset[str]:
        """Return the names of the servers that are cold, or may be.

        Every placement calls this with all model servers. Reading the clock takes a system call,
        so it is read once, and not at all while no server was cold recently.
        """
        if not self.directory.cold_until and not self.directory.drains.undrained_at:
            return frozenset()
        now = self.clock.now()
        return frozenset(one.name for one in servers if self.is_cold_at(one, now))

    def is_cold_at(self, server: BackendServer, now: float) -> bool:
        """Return whether a server is cold at a given time.

        Servers of a drained data centre may have restarted without a report before its return.
        """
        checked_at, checked_until = self.checked.get(server.name, (-math.inf, -math.inf))
        reported_until = self.directory.cold_until.get(server.labels[ID_LABEL], -math.inf)
        if max(reported_until, checked_until) > now:
            return True
        undrained_at = self.directory.drains.undrained_at.get(server.datacentre)
        if undrained_at is None or checked_at >= undrained_at:
            return False
        service = self.follower.service(server.labels[SERVICE_LABEL])
        return service is not None and undrained_at + service.cold_ms > now

    def record_check(self, server: BackendServer, asked_at: float, cold_ms: float) -> None:
        """Record a server's answer to a health check.

        Args:
            server: The server.
            asked_at: When it was asked, in the clock's milliseconds.
            cold_ms: How much longer it is cold, in milliseconds.
        """
        listed = self.directory.names()
        self.checked = {name: one for name, one in self.checked.items() if name in listed}
        self.checked[server.name] = (asked_at, self.clock.now() + cold_ms)

    def warm(self, servers: tuple[BackendServer, ...]) -> tuple[BackendServer, ...]:
        """Return the servers that are not cold."""
        cold = self.cold(servers)
        return tuple(one for one in servers if one.name not in cold) if cold else servers

    def allowance(self, server: BackendServer, topic: str) -> int:
        """Return how many requests this instance may send to a server now.

        Args:
            server: The server.
            topic: The topic whose coordinator distributes the work.
        """
        rate = self.rate(server) if self.is_cold(server) else 0.0
        if not rate:
            return UNLIMITED
        return self.remaining(server, rate) if self.leadership.leads(topic) else 0

    def exhausted(
        self, servers: Iterable[BackendServer], cold: frozenset[str], topic: str
    ) -> frozenset[str]:
        """Return the names of the cold servers to which this instance may send nothing more now.

        Args:
            servers: The servers.
            cold: The names of those among them that are cold.
            topic: The topic whose coordinator distributes the work.
        """
        limited = [one for one in servers if one.name in cold and self.rate(one)] if cold else []
        if limited and self.leadership.leads(topic):
            limited = [one for one in limited if not self.remaining(one, self.rate(one))]
        return frozenset(one.name for one in limited)

    def rate(self, server: BackendServer) -> float:
        """Return how many requests per second a cold server tolerates, or 0 for no limit."""
        service = self.follower.service(server.labels[SERVICE_LABEL])
        return service.cold_per_s if service is not None else 0.0

    def remaining(self, server: BackendServer, rate: float) -> int:
        """Return how many more requests may be sent to a cold server within this second."""
        return max(0, max(1, math.floor(rate)) - len(self.recent_sends(server)))

    def recent_sends(self, server: BackendServer) -> deque[float]:
        """Return the times of the requests sent to a cold server within the last second."""
        times = self.sent_at.setdefault(server.name, deque())
        oldest = self.clock.now() - SECOND_MS
        while times and times[0] <= oldest:
            times.popleft()
        return times

    def record_sent(self, server: BackendServer, requests: int = 1) -> None:
        """Record requests that are sent to a server, if it is cold."""
        if not self.is_cold(server):
            self.sent_at.pop(server.name, None)
            return
        times = self.recent_sends(server)
        times.extend([self.clock.now()] * requests)
        log_message(
            "cold-server-sent",
            server=server.name,
            requests=requests,
            in_second=len(times),
            cold_for_ms=self.cold_for_ms(server),
        )

    def cold_for_ms(self, server: BackendServer) -> int:
        """Return how much longer a server is cold by its own report, in milliseconds."""
        now = self.clock.now()
        return round(self.directory.cold_until.get(server.labels[ID_LABEL], now) - now)
