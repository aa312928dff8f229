# serverlisting.py -- Interface to the list of servers, for crash detection
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Interface to the list of servers, for crash detection."""

from __future__ import annotations

from abc import ABC, abstractmethod

from mountladder.configuration.backendserver import BackendServer


class ServerListing(ABC):
    """The list of servers that an instance follows, for detecting crashes and shutdowns."""

    @abstractmethod
    def is_shutting_down(self, server: BackendServer) -> bool:
        """Return whether a server was shutting down, so that broken connections were expected."""

    @abstractmethod
    def is_unlisted(self, server: BackendServer) -> bool:
        """Return whether the list no longer has an entry of this incarnation of a server."""

    @abstractmethod
    def incarnations(self) -> frozenset[str] | None:
        """Return the names of all listed incarnations, or None if they are not known."""

    @abstractmethod
    def incarnation_name(self, server: BackendServer, crashed_at: float) -> str:
        """Return a name for the crashed incarnation of a server, unique among incarnations."""

    @abstractmethod
    def service(self, server: BackendServer) -> str:
        """Return the name of the service that a server runs, as operators know it."""
