# releasableresults.py -- Chooses which results that were fetched are released at their servers
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Chooses which results that were fetched are released at their servers."""

from __future__ import annotations

from collections import Counter

from mountladder.results.resultmemory import ResultMemory

# Results that were fetched are released once this fraction of their server's memory is in use.
# Below it, even a call that doubles the memory in use has room, and a result that is fetched once
# more, by a second copy of a late piece, is still there.
RELEASE_FRACTION = 0.5


class ReleasableResults:
    """Results that servers have fetched, kept for as long as their own server has memory.

    Load: memory for results that limits the throughput of a stage service. Each result is released
    when its server needs the memory, rather than when the next stage is done.

    Attributes:
        by_server: The handles of the results by the name of their server, the oldest first.
        server_of: The name of the server by the handle.
        releasing: The results whose release has begun, by their handles.
    """

    def __init__(self) -> None:
        self.by_server: dict[str, dict[str, None]] = {}
        self.server_of: dict[str, str] = {}
        self.releasing: set[str] = set()

    def __len__(self) -> int:
        """Return the number of results that are kept."""
        return len(self.server_of)

    def add(self, handle: str, memory: ResultMemory) -> None:
        """Keep a result, unless its memory is not accounted for here or it is being released.

        Args:
            handle: The handle of the result.
            memory: The memory that results made here take up. Results of other coordinators are
                left to the release at the end of the next stage.
        """
        if handle in memory.results and handle not in self.releasing:
            server = memory.results[handle][0]
            self.server_of[handle] = server
            self.by_server.setdefault(server, {})[handle] = None

    def discard(self, handle: str) -> None:
        """Stop keeping a result, which is released otherwise or has expired."""
        server = self.server_of.pop(handle, None)
        if server is not None:
            del self.by_server[server][handle]
            if not self.by_server[server]:
                del self.by_server[server]

    def take(self, memory: ResultMemory, capacity: float, now: float) -> dict[str, list[str]]:
        """Remove and return the results to release now, the oldest first, by their server's name.

        Args:
            memory: The memory that results take up at the servers.
            capacity: The memory of each server in bytes.
            now: The clock's time.
        """
        self.releasing = {one for one in self.releasing if one in memory.results}
        leaving: Counter[str] = Counter()
        for handle in self.releasing:
            server, size, _ = memory.results[handle]
            leaving[server] += size
        taken = {}
        for server in list(self.by_server):
            used = memory.used_bytes(server, now) - leaving[server]
            handles = self.take_at(server, memory, used - RELEASE_FRACTION * capacity)
            if handles:
                taken[server] = handles
        return taken

    def take_at(self, server: str, memory: ResultMemory, surplus: float) -> list[str]:
        """Remove and return the results to release at a server that has too much in use.

        Args:
            server: The server's name.
            memory: The memory that results take up.
            surplus: How many more bytes are in use than may be, or a negative number.
        """
        taken: list[str] = []
        while server in self.by_server:
            handle = next(iter(self.by_server[server]))
            if handle in memory.results:
                if surplus < 0.0:
                    break
                surplus -= memory.results[handle][1]
                taken.append(handle)
            self.discard(handle)
        self.releasing.update(taken)
        return taken
