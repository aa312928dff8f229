# configuredlisting.py -- Server listing based on the operators' configuration
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Server listing based on the operators' configuration."""

from __future__ import annotations

from mountladder.configuration.backendserver import BackendServer
from mountladder.quarantine.serverlisting import ServerListing


class ConfiguredListing(ServerListing):
    """The servers in the operators' configuration.

    A configured server keeps its name when it restarts, and the configuration does not show
    restarts. The name of a crashed incarnation therefore holds the time of the crash.
    """

    def is_shutting_down(self, server: BackendServer) -> bool:
        """Return whether operators are draining a server; see ServerListing."""
        return server.draining

    def is_unlisted(self, server: BackendServer) -> bool:
        """Return False, since the configuration does not show restarts; see ServerListing."""
        return False

    def incarnations(self) -> frozenset[str] | None:
        """Return None, since the configuration does not show restarts; see ServerListing."""
        return None

    def incarnation_name(self, server: BackendServer, crashed_at: float) -> str:
        """Return the server's name and the time of the crash; see ServerListing."""
        return f"{server.name}@{crashed_at:.0f}"

    def service(self, server: BackendServer) -> str:
        """Return whether the server is an engine or a service; see ServerListing."""
        return server.serves
