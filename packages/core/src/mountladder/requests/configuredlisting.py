# configuredlisting.py -- Ends of servers that operators have configured
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Ends of servers that operators have configured."""

from __future__ import annotations

from mountladder.configuration.backendserver import BackendServer
from mountladder.quarantine.serverlisting import ServerListing


class ConfiguredListing(ServerListing):
    """Ends of servers that operators have configured, which keep their names when they start again.

    The configuration tells nothing of starts, so that an end is named by its time.
    """

    def is_shutting_down(self, server: BackendServer) -> bool:
        """Tell whether operators are draining a server; see ServerListing."""
        return server.draining

    def is_unlisted(self, server: BackendServer) -> bool:
        """Return False, since the configuration does not tell; see ServerListing."""
        return False

    def incarnation_name(self, server: BackendServer, crashed_at: float) -> str:
        """Return the server's name and when it ended; see ServerListing."""
        return f"{server.name}@{crashed_at:.0f}"

    def service(self, server: BackendServer) -> str:
        """Return whether the server is an engine or a service; see ServerListing."""
        return server.serves
