# connectionshare.py -- Share of a server's connections that one instance may keep open
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Share of a server's connections that one instance may keep open."""

from __future__ import annotations

from mountladder.configuration.backendserver import BackendServer
from mountladder.forwarding.cataloguefollower import CatalogueFollower
from mountladder.forwarding.serverrecord import SERVICE_LABEL
from mountladder.membership.membership import Membership


class ConnectionShare:
    """Computes this instance's share of the idle connections that a server accepts.

    Args:
        follower: Holds the catalogue in force, which has each service's connection limit.
        membership: The instances that share a server's connections.
    """

    def __init__(self, follower: CatalogueFollower, membership: Membership) -> None:
        self.follower = follower
        self.membership = membership

    def of(self, server: BackendServer) -> int | None:
        """Return how many idle connections may be kept open, or None where no limit is set.

        Half of the connections that a server accepts stay free for calls from any instance.
        """
        service = self.follower.service(server.labels[SERVICE_LABEL])
        if service is None or not service.max_connections:
            return None
        return max(1, service.max_connections // (2 * self.membership.budget_sharers()))
