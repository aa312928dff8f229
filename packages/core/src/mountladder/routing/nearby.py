# nearby.py -- Which backend servers stand in the instance's own data centre
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Which backend servers stand in the instance's own data centre."""

from __future__ import annotations

from collections.abc import Sequence

from mountladder.configuration.backendserver import BackendServer

KEPT = 512
Servers = tuple[BackendServer, ...]


class Nearby:
    """Parts allowed servers into those of a data centre and the others.

    The parts of a sequence are kept, since a configuration gives the same one again and again.

    Args:
        datacentre: The data centre, or an empty string where every server counts as near.
    """

    def __init__(self, datacentre: str) -> None:
        self.datacentre = datacentre
        self.known: dict[int, tuple[Sequence[BackendServer], Servers, Servers]] = {}

    def is_near(self, server: BackendServer) -> bool:
        """Tell whether a server stands in the data centre."""
        return not self.datacentre or server.datacentre == self.datacentre

    def part(self, allowed: Sequence[BackendServer]) -> tuple[Servers, Servers]:
        """Return the servers of the data centre and the others."""
        entry = self.known.get(id(allowed))
        if entry is None or entry[0] is not allowed:
            near = tuple(server for server in allowed if self.is_near(server))
            far = tuple(server for server in allowed if not self.is_near(server))
            if len(self.known) >= KEPT:
                self.known.clear()
            entry = self.known[id(allowed)] = (allowed, near, far)
        return entry[1], entry[2]
