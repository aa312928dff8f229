# directorylisting.py -- Server listing based on the directory of backend servers
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Server listing based on the directory of backend servers."""

from __future__ import annotations

from collections.abc import Callable

from mountladder.configuration.backendserver import BackendServer
from mountladder.forwarding.directory import Directory
from mountladder.forwarding.serverrecord import ID_LABEL, SERVICE_LABEL, ServerRecord
from mountladder.quarantine.serverlisting import ServerListing


class DirectoryListing(ServerListing):
    """The platform's list of servers, in which each incarnation of a server has its own name.

    Args:
        directory: The list of backend servers.

    Attributes:
        is_current: Returns whether changes of the list reach this instance at present.
    """

    def __init__(self, directory: Directory) -> None:
        self.directory = directory
        self.is_current: Callable[[], bool] = lambda: True

    def record(self, server: BackendServer) -> ServerRecord | None:
        """Return the newest entry under a server's id, or None."""
        return self.directory.records.get(server.labels[ID_LABEL])

    def is_shutting_down(self, server: BackendServer) -> bool:
        """Return whether a server was leaving; see ServerListing."""
        record = self.record(server)
        return record is None or record.server is None or record.server.draining

    def is_unlisted(self, server: BackendServer) -> bool:
        """Return whether the list lacks this incarnation of a server; see ServerListing."""
        record = self.record(server)
        return record is None or record.server is None or record.server.name != server.name

    def incarnations(self) -> frozenset[str] | None:
        """Return the listed names, or None while the list may lack servers; see ServerListing."""
        if not self.directory.ready or not self.is_current():
            return None
        # After an outage of the store, live servers write their entries again.
        if self.directory.reappear_ms() > 0.0:
            return None
        return self.directory.names()

    def incarnation_name(self, server: BackendServer, crashed_at: float) -> str:
        """Return the server's name, which is unique to each incarnation; see ServerListing."""
        return server.name

    def service(self, server: BackendServer) -> str:
        """Return the server's service; see ServerListing."""
        return server.labels[SERVICE_LABEL]
