# coldservers.py -- Limits what is sent to backend servers that have just started
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Limits what is sent to backend servers that have just started."""

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
# What stands for no limit.
MANY = 2**31


class ColdServers:
    """Limits the requests that servers get in their first seconds, over all instances together.

    A server that gets well more than its service's rate while it is cold ends, with all that it has
    under way. So only the instance where the work of a service meets sends to cold servers, or has
    them sent to; at most the rate in any second. What is tolerated is half as much again and some,
    so that two instances that both believe to be that one do no harm. All others leave cold servers
    alone, those among them that only believe to be it since they reach nobody (`Leadership`).

    Args:
        directory: Which servers there are.
        follower: The catalogue in force, which has the rates.
        leadership: Tells whether the work of a service surely meets here.
        clock: The clock.

    Attributes:
        sendings: When each cold server was last sent requests, within a second, by its name.
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
        self.sendings: dict[str, deque[float]] = {}

    def is_cold(self, server: BackendServer) -> bool:
        """Tell whether a server is cold, as it said, or may be, since its data centre is back."""
        return bool(self.cold((server,)))

    def cold(self, servers: Iterable[BackendServer]) -> frozenset[str]:
        """Return the names of the servers that are cold, or may be.

        Every placement asks for all model servers, so that the clock is read once, and not at all
        while none was cold lately: reading it takes a system call.
        """
        if not self.directory.cold_until and not self.directory.drains.undrained_at:
            return frozenset()
        now = self.clock.now()
        return frozenset(one.name for one in servers if self.is_cold_at(one, now))

    def is_cold_at(self, server: BackendServer, now: float) -> bool:
        """Tell whether a server is cold at a time.

        Servers of a drained data centre may have become cold without a word before its return.
        """
        if self.directory.cold_until.get(server.labels[ID_LABEL], -math.inf) > now:
            return True
        returned_at = self.directory.drains.undrained_at.get(server.datacentre)
        if returned_at is None:
            return False
        service = self.follower.service(server.labels[SERVICE_LABEL])
        return service is not None and returned_at + service.cold_ms > now

    def warm(self, servers: tuple[BackendServer, ...]) -> tuple[BackendServer, ...]:
        """Return the servers that are not cold."""
        cold = self.cold(servers)
        return tuple(one for one in servers if one.name not in cold) if cold else servers

    def allowance(self, server: BackendServer, topic: str) -> int:
        """Return how many requests a server may be sent now from here.

        Args:
            server: The server.
            topic: Under which topic the work that it is to get meets.
        """
        rate = self.rate(server) if self.is_cold(server) else 0.0
        if not rate:
            return MANY
        return self.left(server, rate) if self.leadership.leads(topic) else 0

    def spent(
        self, servers: Iterable[BackendServer], cold: frozenset[str], topic: str
    ) -> frozenset[str]:
        """Return the names of the cold servers that may be sent nothing more now from here.

        Args:
            servers: The servers.
            cold: The names of those among them that are cold.
            topic: Under which topic the work that they are to get meets.
        """
        limited = [one for one in servers if one.name in cold and self.rate(one)] if cold else []
        if limited and self.leadership.leads(topic):
            limited = [one for one in limited if not self.left(one, self.rate(one))]
        return frozenset(one.name for one in limited)

    def rate(self, server: BackendServer) -> float:
        """Return how many requests a second a server tolerates while it is cold, or 0 for any."""
        service = self.follower.service(server.labels[SERVICE_LABEL])
        return service.cold_per_s if service is not None else 0.0

    def left(self, server: BackendServer, rate: float) -> int:
        """Return how many more requests a cold server may get in this second."""
        return max(0, max(1, math.floor(rate)) - len(self.lately(server)))

    def lately(self, server: BackendServer) -> deque[float]:
        """Return when a cold server was sent requests from here, of the last second."""
        sendings = self.sendings.setdefault(server.name, deque())
        oldest = self.clock.now() - SECOND_MS
        while sendings and sendings[0] <= oldest:
            sendings.popleft()
        return sendings

    def sent(self, server: BackendServer, requests: int = 1) -> None:
        """Record that a server is sent requests, where it is cold."""
        if not self.is_cold(server):
            self.sendings.pop(server.name, None)
            return
        sendings = self.lately(server)
        sendings.extend([self.clock.now()] * requests)
        log_message(
            "cold-server-sent",
            server=server.name,
            requests=requests,
            in_second=len(sendings),
            cold_for_ms=self.cold_for_ms(server),
        )

    def cold_for_ms(self, server: BackendServer) -> int:
        """Return for how much longer a server said that it is cold, in milliseconds."""
        now = self.clock.now()
        return round(self.directory.cold_until.get(server.labels[ID_LABEL], now) - now)
