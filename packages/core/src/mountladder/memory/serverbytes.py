# serverbytes.py -- Learns how many bytes of requests the servers of a service hold without crashing
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Learns how many bytes of requests the servers of a service hold without crashing.

Load it handles: large requests that together exceed the memory of one server.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable, Iterable

from mountladder.memory.bytelimit import ByteLimit

# What a server held at one time is safe if it does not crash within this time, in milliseconds.
SAFE_MS = 10_000.0
# How long after a crash it is reported, in milliseconds. Until then the requests that broke with it
# have ended, so the most that was held within this time is compared.
REPORT_MS = 1_000.0
# The most that was held is kept for each interval of this length, in milliseconds.
INTERVAL_MS = 500.0
# The part of what a crashed server held that is sent to one server from then on.
LIMIT_FRACTION = 0.75
# A limit is never below the largest body that callers may send by default, in bytes: a server that
# cannot hold one such request is no use. A crash with less has other causes.
MIN_LIMIT_BYTES = 4_194_304


class ServerBytes:
    """Counts the bytes of requests at each server, and limits them after a crash.

    Attributes:
        held: The bytes of the requests at each server, by its name.
        peaks: The most that each server held lately: the start of an interval and the bytes.
        safe: The most that a server of each service held without a crash, by service.
        services: The service of each server.
        limits: The most that is sent to one server of each service, where that is limited.
        is_enabled: Returns whether anything is limited and learnt.
    """

    def __init__(self) -> None:
        self.held: Counter[str] = Counter()
        self.peaks: dict[str, deque[tuple[float, int]]] = {}
        self.services: dict[str, str] = {}
        self.safe: Counter[str] = Counter()
        self.limits: dict[str, float] = {}
        self.is_enabled: Callable[[], bool] = lambda: True

    def begin(self, service: str, server: str, size: int, now: float) -> None:
        """Count a request that is sent to a server."""
        self.services[server] = service
        self.held[server] += size
        self.record(server, now)

    def end(self, server: str, size: int, now: float) -> None:
        """Count a request that has ended."""
        if server in self.services:
            # After a crash nothing is recorded until a request begins: what it held was not safe.
            if self.peaks[server]:
                self.record(server, now)
            self.held[server] -= size

    def record(self, server: str, now: float) -> None:
        """Record what a server holds, and what has proved safe by now."""
        peaks, held = self.peaks.setdefault(server, deque()), self.held[server]
        service = self.services[server]
        while peaks and now - peaks[0][0] > SAFE_MS + INTERVAL_MS:
            self.safe[service] = max(self.safe[service], peaks.popleft()[1])
        if peaks and now - peaks[-1][0] < INTERVAL_MS:
            peaks[-1] = (peaks[-1][0], max(peaks[-1][1], held))
        else:
            peaks.append((now, held))

    def full(self, service: str, servers: Iterable[str], size: int) -> frozenset[str]:
        """Return the servers that must not be sent a request of a size in bytes.

        A server that holds nothing is sent any request.
        """
        limit = self.limits.get(service)
        if limit is None or not self.is_enabled():
            return frozenset()
        return frozenset(one for one in servers if self.held[one] and self.held[one] + size > limit)

    def crashed(self, server: str, now: float) -> ByteLimit | None:
        """Record a crash; return the limit that it sets, or None if it sets none."""
        service = self.services.get(server)
        if service is None or not self.is_enabled():
            return None
        since = now - REPORT_MS - INTERVAL_MS
        most = max((held for at, held in self.peaks[server] if at >= since), default=0)
        most = max(most, self.held[server])
        # Requests that are released later must not show that this was safe.
        self.peaks[server].clear()
        # What is below the limit, or was safe before, says nothing about the server's memory.
        limit = max(LIMIT_FRACTION * most, self.safe[service], MIN_LIMIT_BYTES)
        if limit >= min(most, self.limits.get(service, most)):
            return None
        self.limits[service] = limit
        return ByteLimit(service, server, most, self.safe[service], limit)

    def drop_unlisted(self, listed: Iterable[str]) -> None:
        """Forget the servers that are not listed any more; what was learnt is kept."""
        for server in set(self.services) - set(listed):
            for table in (self.services, self.held, self.peaks):
                table.pop(server, None)
