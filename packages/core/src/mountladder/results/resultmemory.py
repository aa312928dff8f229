# resultmemory.py -- Tracks the memory that results take up at the servers of a stage service
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Tracks the memory that results take up at the servers of a stage service."""

from __future__ import annotations

from collections import Counter, defaultdict

from mountladder.results.lapsingbytes import LapsingBytes
from mountladder.results.serverusage import ServerUsage


class ResultMemory:
    """Memory used by the results that one instance had made at the servers of a service.

    A result counts from the start of its call until it is released, or until the server expires it
    some time after the call.

    Attributes:
        used: The bytes in use at each server, by its name.
        results: Each known result by its handle: the server's name, its size in bytes, and when it
            expires.
        foreign: The results at a server that seem to be another instance's, by its name.
        inherited: The results at a server that another coordinator reported, by its name.
        needed_until: Until when the results at a server are expected to be needed, by its name.
        lost: The sizes in bytes of results whose handles were never received, and when they expire,
            by the server's name.
    """

    def __init__(self) -> None:
        self.used: Counter[str] = Counter()
        self.results: dict[str, tuple[str, float, float]] = {}
        self.foreign: dict[str, LapsingBytes] = {}
        self.inherited: dict[str, LapsingBytes] = {}
        self.needed_until: dict[str, float] = {}
        self.lost: dict[str, list[tuple[float, float]]] = {}

    def used_bytes(self, server: str, now: float) -> float:
        """Return the estimated number of bytes in use at a server.

        Results of other instances are assumed to disappear linearly until the last one expires.
        """
        return self.own_bytes(server, now) + sum(
            known[server].used(now) for known in (self.foreign, self.inherited) if server in known
        )

    def own_bytes(self, server: str, now: float) -> float:
        """Return the number of bytes that results of this instance take up at a server."""
        return self.used[server] + self.lost_bytes(server, now)

    def inherit(self, usage: ServerUsage, now: float) -> None:
        """Record the memory that another coordinator reports as in use at a server."""
        self.inherited[usage.server] = LapsingBytes(usage.used_bytes, now, now + usage.lapse_ms)
        # What a refusal had revealed was the same memory.
        self.foreign.pop(usage.server, None)

    def usages(self, now: float, everything: bool) -> list[ServerUsage]:
        """Return the memory in use at each server, to be reported to another instance.

        Args:
            now: The clock's time.
            everything: Whether results of other instances are included.
        """
        until: defaultdict[str, float] = defaultdict(float)
        for server, _, expires in self.results.values():
            until[server] = max(until[server], expires)
        # Most results are released when they are not needed any more, and before they expire.
        until |= {name: at for name, at in self.needed_until.items() if at > now}
        for server, lost in self.lost.items():
            until[server] = max(until[server], *(one[1] for one in lost))
        if everything:
            for server, one in [*self.foreign.items(), *self.inherited.items()]:
                until[server] = max(until[server], one.until)
        get = self.used_bytes if everything else self.own_bytes
        return [
            ServerUsage(server, get(server, now), at - now)
            for server, at in until.items()
            if at > now
        ]

    def record_lost(self, server: str, size: float, until: float) -> None:
        """Record a result that may have been made but whose handle is unknown."""
        self.lost.setdefault(server, []).append((size, until))

    def lost_bytes(self, server: str, now: float) -> float:
        """Return the size in bytes of the results with unknown handles at a server."""
        lost = [one for one in self.lost.pop(server, ()) if one[1] > now]
        if lost:
            self.lost[server] = lost
        return sum(size for size, _ in lost)

    def record_full(
        self, server: str, expected_free: float, now: float, result_ttl_ms: float
    ) -> None:
        """Record that a server had no free memory although some was expected.

        Args:
            server: The name of the server.
            expected_free: How many bytes were expected to be free after the call.
            now: The clock's time.
            result_ttl_ms: How long a result is kept, in milliseconds.
        """
        if expected_free > 0.0:
            self.foreign[server] = LapsingBytes(expected_free, now, now + result_ttl_ms)

    def reserve(self, server: str, size: float, until: float = 0.0) -> None:
        """Reserve memory for a result of a call that begins.

        Args:
            server: The name of the server.
            size: The approximate size of the result in bytes.
            until: When the result is expected not to be needed any more.
        """
        self.used[server] += size
        self.needed_until[server] = max(until, self.needed_until.get(server, 0.0))

    def unreserve(self, server: str, size: float) -> None:
        """Cancel the reservation of a piece that has no result."""
        self.used[server] = max(0.0, self.used[server] - size)

    def record_result(self, handle: str, server: str, size: float, until: float) -> None:
        """Record a result and when it expires."""
        # A restarted server may give the handle of a lost result to a new one.
        self.release(handle)
        self.results[handle] = (server, size, until)

    def release(self, handle: str) -> None:
        """Record that a result was released."""
        server, size, _ = self.results.pop(handle, ("", 0.0, 0.0))
        if server:
            self.unreserve(server, size)

    def drop_expired(self, now: float) -> None:
        """Remove the results that have expired."""
        expired = [handle for handle, (_, _, until) in self.results.items() if until <= now]
        for handle in expired:
            self.release(handle)
        for known in (self.foreign, self.inherited):
            for server in [name for name, one in known.items() if one.until <= now]:
                del known[server]
        for server in [name for name, until in self.needed_until.items() if until <= now]:
            del self.needed_until[server]
