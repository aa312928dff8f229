# locality.py -- Splits backend servers into local and remote ones
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Splits backend servers into local and remote ones."""

from __future__ import annotations

from collections.abc import Sequence

from mountladder.configuration.backendserver import BackendServer

MAX_CACHED = 512
Servers = tuple[BackendServer, ...]


class ServerLocality:
    """Splits servers into those of the instance's data centre and those of others.

    Results are cached by the identity of the sequence, since a configuration returns the same
    sequence for each call of a stage.

    Args:
        datacentre: The instance's data centre, or an empty string to treat every server as local.
    """

    def __init__(self, datacentre: str) -> None:
        self.datacentre = datacentre
        self.cache: dict[int, tuple[Sequence[BackendServer], Servers, Servers]] = {}

    def is_local(self, server: BackendServer) -> bool:
        """Return whether a server is in the instance's data centre."""
        return not self.datacentre or server.datacentre == self.datacentre

    def split(self, allowed: Sequence[BackendServer]) -> tuple[Servers, Servers]:
        """Return the local and the remote servers."""
        entry = self.cache.get(id(allowed))
        if entry is None or entry[0] is not allowed:
            local = tuple(server for server in allowed if self.is_local(server))
            remote = tuple(server for server in allowed if not self.is_local(server))
            if len(self.cache) >= MAX_CACHED:
                self.cache.clear()
            entry = self.cache[id(allowed)] = (allowed, local, remote)
        return entry[1], entry[2]
