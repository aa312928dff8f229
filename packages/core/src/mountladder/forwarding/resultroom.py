# resultroom.py -- The room for results at the servers of a stage service
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The room for results at the servers of a stage service."""

from __future__ import annotations

from collections import Counter


class ResultRoom:
    """What the results take up that one instance had made at the servers of a service.

    A result takes room from the start of its call until it is given up, or until the server drops
    it some time after the call.

    Attributes:
        used: The bytes in use at each server, by its name.
        foreign: What another instance seems to have had made at a server, in bytes, with the time
            when that was found and when it is gone.
        lost: The bytes of results whose handles never came, and when they are dropped.
    """

    def __init__(self) -> None:
        self.used: Counter[str] = Counter()
        self.results: dict[str, tuple[str, float, float]] = {}
        self.foreign: dict[str, tuple[float, float, float]] = {}
        self.lost: dict[str, list[tuple[float, float]]] = {}

    def taken(self, server: str, now: float) -> float:
        """Return how many bytes are taken to be in use at a server.

        What others had made there is given up little by little, as it is dropped at the latest
        when it is as old as results get.
        """
        known = self.used[server] + self.lost_bytes(server, now)
        size, since, until = self.foreign.get(server, (0.0, 0.0, 0.0))
        if until <= now:
            self.foreign.pop(server, None)
            return known
        return known + size * (until - now) / (until - since)

    def lose(self, server: str, size: float, until: float) -> None:
        """Record a result that may have been made, whose handle is not known."""
        self.lost.setdefault(server, []).append((size, until))

    def lost_bytes(self, server: str, now: float) -> float:
        """Return how many bytes results without known handles take up at a server."""
        lost = [one for one in self.lost.pop(server, ()) if one[1] > now]
        if lost:
            self.lost[server] = lost
        return sum(size for size, _ in lost)

    def found_full(self, server: str, unknown: float, now: float, kept_ms: float) -> None:
        """Record that a server had no room, though as far as was known here it had some.

        Args:
            server: The name of the server.
            unknown: How many bytes were free there at the start of the call, as far as was known.
            now: The clock's time.
            kept_ms: How long a result is kept.
        """
        if unknown > 0.0:
            self.foreign[server] = (unknown, now, now + kept_ms)

    def reserve(self, server: str, size: float) -> None:
        """Record that a call begins whose results will take room."""
        self.used[server] += size

    def give_back(self, server: str, size: float) -> None:
        """Record that a piece of a call has no result."""
        self.used[server] = max(0.0, self.used[server] - size)

    def keep(self, handle: str, server: str, size: float, until: float) -> None:
        """Record a result, and when the server drops it by itself."""
        self.results[handle] = (server, size, until)

    def release(self, handle: str) -> None:
        """Record that a result is given up."""
        server, size, _ = self.results.pop(handle, ("", 0.0, 0.0))
        if server:
            self.give_back(server, size)

    def drop_old(self, now: float) -> None:
        """Forget results that their servers have dropped."""
        old = [handle for handle, (_, _, until) in self.results.items() if until <= now]
        for handle in old:
            self.release(handle)
