# connectionshare.py -- How many connections an instance keeps open to a server
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""How many connections an instance keeps open to a server."""

from __future__ import annotations

from mountladder.configuration.backendserver import BackendServer
from mountladder.forwarding.cataloguefollower import CatalogueFollower
from mountladder.forwarding.serverrecord import SERVICE_LABEL
from mountladder.membership.membership import Membership


class ConnectionShare:
    """This instance's part of the connections that each server accepts from all.

    Args:
        follower: The catalogue in force, which tells what servers accept.
        membership: Who shares it.
    """

    def __init__(self, follower: CatalogueFollower, membership: Membership) -> None:
        self.follower = follower
        self.membership = membership

    def of(self, server: BackendServer) -> int | None:
        """Return how many may wait for another call; None where the service does not say.

        Half of what a server accepts stays free for calls, which may come from any instance.
        """
        service = self.follower.service(server.labels[SERVICE_LABEL])
        if service is None or not service.most_connections:
            return None
        return max(1, service.most_connections // (2 * self.membership.budget_sharers()))
