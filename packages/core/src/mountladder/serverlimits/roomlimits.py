# roomlimits.py -- Keeps all instances together from overfilling fragile servers
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Keeps all instances together from overfilling fragile servers."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from eliot import log_message

from mountladder.clocks.clock import Clock
from mountladder.configuration.backendserver import BackendServer
from mountladder.forwarding.leadership import Leadership
from mountladder.notices.noticeregistry import NoticeRegistry
from mountladder.notices.ratelimit import UNLIMITED
from mountladder.serverlimits.serverroom import SECOND_MS, ServerRoom

# A server gets no further requests within a second in which it rejected this fraction of what it
# can reject: requests of other instances may still be on their way to it.
MAX_REJECTED_FRACTION = 0.5


class RoomLimits:
    """Limits the requests in progress at servers that crash if they reject many requests.

    Such servers are fragile: they announce how many requests they can reject in a second. Requests
    to them are placed by their service's coordinator, which knows how many are in progress there.
    An instance that cannot reach the coordinator uses a fraction of the room.

    Args:
        registry: The notices of servers.
        leadership: Returns what fraction of common limits this instance may spend.
        clock: The clock.

    Attributes:
        rooms: The room of each fragile server, by its name.
        counts: Return how many requests of a kind this instance knows in progress at a server, by
            its name: prompts, calls with pieces.
    """

    def __init__(self, registry: NoticeRegistry, leadership: Leadership, clock: Clock) -> None:
        self.registry = registry
        self.leadership = leadership
        self.clock = clock
        self.rooms: dict[str, ServerRoom] = {}
        self.counts: list[Callable[[str], int]] = []

    def fragile(self, servers: Iterable[BackendServer]) -> frozenset[str]:
        """Return the names of the fragile servers."""
        if not self.registry.rejection_limits:
            return frozenset()
        return frozenset(one.name for one in servers if self.is_fragile(one.name))

    def is_fragile(self, name: str) -> bool:
        """Return whether a server crashes if it rejects many requests."""
        return self.registry.max_rejections_per_s(name) < UNLIMITED

    def running(self, name: str) -> int:
        """Return how many requests of all kinds this instance knows in progress at a server."""
        return sum(count(name) for count in self.counts)

    def full(self, servers: Iterable[BackendServer], topic: str) -> frozenset[str]:
        """Return the names of the fragile servers that must not be sent a request now.

        Args:
            servers: The servers.
            topic: The topic whose coordinator distributes the work.
        """
        if not self.registry.rejection_limits:
            return frozenset()
        fraction = self.leadership.fraction(topic)
        return frozenset(
            one.name
            for one in servers
            if self.is_fragile(one.name) and self.is_full(one, self.running(one.name), fraction)
        )

    def is_full(self, server: BackendServer, running: int, fraction: float) -> bool:
        """Return whether a fragile server must not be sent a request now.

        Args:
            server: The server.
            running: The number of requests that this instance knows in progress there.
            fraction: The fraction of its room that this instance may use.
        """
        now, room = self.clock.now(), self.room(server)
        if room.rejections(now) >= self.max_rejections(server.name):
            return True
        if fraction < 1.0:
            return running >= max(1, int(room.requests * fraction))
        return not room.accepts(running, now)

    def max_rejections(self, name: str) -> float:
        """Return after how many rejections in a second a server gets no further requests."""
        return max(1.0, MAX_REJECTED_FRACTION * self.registry.max_rejections_per_s(name))

    def pause_ms(self, server: BackendServer) -> float:
        """Return how long a fragile server is left alone after a rejection, or 0 for others.

        For callers that send it one request after the other.
        """
        if not self.is_fragile(server.name):
            return 0.0
        return SECOND_MS / self.max_rejections(server.name)

    def record_rejected(self, server: BackendServer, running: int) -> None:
        """Record that a server rejected a request, with the number in progress there."""
        if not self.is_fragile(server.name):
            return
        room, now = self.room(server), self.clock.now()
        room.record_rejected(running, now)
        log_message(
            "fragile-server-rejected",
            server=server.name,
            running=running,
            room=room.requests,
            in_second=room.rejections(now),
            can_reject_per_s=self.registry.max_rejections_per_s(server.name),
        )

    def room(self, server: BackendServer) -> ServerRoom:
        """Return the room of a fragile server."""
        room = self.rooms.get(server.name)
        if room is None:
            self.rooms = {name: one for name, one in self.rooms.items() if self.is_fragile(name)}
            room = self.rooms[server.name] = ServerRoom(server.slots, self.clock.now())
        return room
