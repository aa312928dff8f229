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
    """

    def __init__(self) -> None:
        self.used: Counter[str] = Counter()
        self.results: dict[str, tuple[str, float, float]] = {}

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
