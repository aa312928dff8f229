# nearby.py -- Splits backend servers into local and remote ones
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Splits backend servers into local and remote ones."""

from __future__ import annotations

from collections.abc import Sequence

from mountladder.configuration.backendserver import BackendServer

KEPT = 512
Servers = tuple[BackendServer, ...]


class Nearby:
    """Splits servers into those of the instance's data centre and those of others.

    Results are cached by the identity of the sequence, since a configuration returns the same
    sequence for each call of a stage.

    Args:
        datacentre: The instance's data centre, or an empty string to treat every server as local.
    """

    def __init__(self, datacentre: str) -> None:
        self.datacentre = datacentre
        self.known: dict[int, tuple[Sequence[BackendServer], Servers, Servers]] = {}

    def is_near(self, server: BackendServer) -> bool:
        """Return whether a server is in the instance's data centre."""
        return not self.datacentre or server.datacentre == self.datacentre

    def part(self, allowed: Sequence[BackendServer]) -> tuple[Servers, Servers]:
        """Return the local and the remote servers."""
        entry = self.known.get(id(allowed))
        if entry is None or entry[0] is not allowed:
            near = tuple(server for server in allowed if self.is_near(server))
            far = tuple(server for server in allowed if not self.is_near(server))
            if len(self.known) >= KEPT:
                self.known.clear()
            entry = self.known[id(allowed)] = (allowed, near, far)
        return entry[1], entry[2]
