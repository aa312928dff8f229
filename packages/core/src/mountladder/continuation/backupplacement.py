# backupplacement.py -- Chooses the servers that keep copies, at the placement coordinator
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Chooses the servers that keep copies, at the placement coordinator."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Hashable, Iterable, Sequence

from mountladder.clocks.clock import Clock
from mountladder.configuration.backendserver import BackendServer
from mountladder.configuration.softwareversion import running_version, version_of
from mountladder.continuation.placedcopy import PlacedCopy
from mountladder.forwarding.placementorder import PlacementOrder
from mountladder.forwarding.service import Service
from mountladder.routing.promptplacement import PromptPlacement

# Copies take at most this fraction of a server's cache. The rest is for the server's own prompts,
# whose shared parts would otherwise be evicted and read again.
MAX_CACHE_FRACTION = 0.1
Key = tuple[Hashable, int]


class BackupPlacement:
    """Chooses the server that keeps a copy of a prompt's run, and counts the tokens of copies.

    Args:
        placement: Knows the prompts and the state of all servers.
        clock: The clock.

    Attributes:
        copies: The copies of placed prompts, by owner and number.
        tokens: The tokens of the copies at each server, by its name.
        lapsing: When copies without an owner expire, and these copies; services keep copies for
            similar times, so that the first is about the next to expire.
    """

    def __init__(self, placement: PromptPlacement, clock: Clock) -> None:
        self.placement = placement
        self.clock = clock
        self.copies: dict[Key, PlacedCopy] = {}
        self.tokens: Counter[str] = Counter()
        self.lapsing: deque[tuple[float, PlacedCopy]] = deque()

    def place(
        self,
        key: Key,
        order: PlacementOrder,
        first: str,
        servers: Iterable[BackendServer],
        service: Service | None,
        datacentre: str,
    ) -> str:
        """Choose the server that keeps a copy, and count its tokens until the prompt ends.

        Args:
            key: The owner and the number of the order.
            order: The prompt and the servers that its instance cannot use.
            first: The name of the server that runs the prompt.
            servers: The available servers of the service.
            service: The service, or None if it is not known.
            datacentre: The data centre of the instance that sends the prompt. Only its own servers
                are certain to be reachable for it when it is cut off from the others.

        Returns:
            The name of the server, or an empty string if none has room.
        """
        if not order.wants_backup or service is None or service.backups is None:
            return ""
        self.expire()
        tokens = order.prompt.tokens + order.prompt.max_output
        eligible = self.eligible(first, tuple(servers), datacentre)
        excluded = {first, *order.excluded}
        room = MAX_CACHE_FRACTION * service.kv_tokens - tokens
        suitable = [
            one for one in eligible if one.name not in excluded and self.has_room(one, room)
        ]
        if not suitable:
            return ""
        chosen = min(suitable, key=self.load).name
        self.copies[key] = PlacedCopy(chosen, tokens, service.backups.handle_ms)
        self.tokens[chosen] += tokens
        return chosen

    def eligible(
        self, first: str, servers: Sequence[BackendServer], datacentre: str
    ) -> list[BackendServer]:
        """Return the servers of a data centre that could continue a run of another server.

        Those are of the same software version. Where the data centre has only servers of other
        versions, the ones of other data centres can.
        """
        version = next((version_of(one) for one in servers if one.name == first), None)
        same = running_version(servers, version)
        near = [one for one in same if one.datacentre == datacentre]
        is_alone = all(one.name == first for one in near)
        return list(same) if is_alone and len(same) < len(servers) else near

    def has_room(self, server: BackendServer, room: float) -> bool:
        """Return whether a server is in use, with copies of at most a number of tokens."""
        in_use = self.placement.router.state(server).in_use(self.clock.now())
        return in_use and self.tokens[server.name] <= room

    def load(self, server: BackendServer) -> tuple[float, int]:
        """Return how much a server has to do: its running prompts, then its copies."""
        running = self.placement.running_prompts[server.name]
        return running / server.slots, self.tokens[server.name]

    def end(self, key: Key) -> None:
        """Record that the prompt of a copy has ended."""
        copy = self.copies.pop(key, None)
        if copy is not None:
            self.subtract(copy)

    def lapse(self, owner: Hashable) -> None:
        """Count the copies of an instance that is gone until their servers drop them."""
        now = self.clock.now()
        for key in [key for key in self.copies if key[0] == owner]:
            copy = self.copies.pop(key)
            self.lapsing.append((now + copy.handle_ms, copy))

    def expire(self) -> None:
        """Drop copies that their servers have dropped."""
        now = self.clock.now()
        while self.lapsing and self.lapsing[0][0] <= now:
            self.subtract(self.lapsing.popleft()[1])

    def subtract(self, copy: PlacedCopy) -> None:
        """Subtract the tokens of a copy that its server no longer keeps."""
        self.tokens[copy.server] -= copy.tokens
        if self.tokens[copy.server] <= 0:
            del self.tokens[copy.server]
