# serverlisting.py -- What lists of servers tell of their ends
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""What lists of servers tell of their ends."""

from __future__ import annotations

from abc import ABC, abstractmethod

from mountladder.configuration.backendserver import BackendServer


class ServerListing(ABC):
    """What the list of servers that an instance follows tells of their ends."""

    @abstractmethod
    def is_planned(self, server: BackendServer) -> bool:
        """Tell whether a server was leaving, so that connections to it were to break."""

    @abstractmethod
    def is_unlisted(self, server: BackendServer) -> bool:
        """Tell whether the list has no entry of this start of a server any more."""

    @abstractmethod
    def start_name(self, server: BackendServer, ended_at: float) -> str:
        """Return a name that the start of a server which has ended shares with no other start."""

    @abstractmethod
    def service(self, server: BackendServer) -> str:
        """Return what a server serves, as operators call it."""
