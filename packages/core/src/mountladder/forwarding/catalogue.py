# catalogue.py -- One version of the operator's configuration: routes, services, keys and limits
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""One version of the operator's configuration: routes, services, keys and limits."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from mountladder.forwarding.callerlimits import CallerLimits
from mountladder.forwarding.callerteam import CallerTeam
from mountladder.forwarding.route import Route
from mountladder.forwarding.service import Service


@dataclass(frozen=True, slots=True)
class Catalogue:
    """One version of the operator's configuration: routes, services, keys and limits.

    Attributes:
        version: Its version; a higher one replaces a lower one.
        routes: The routes of each host, the longest prefix first.
        services: The services by name.
        keys: The team of each API key, with its priority.
        requires_key: Whether requests need a key on routes that are not public.
        limits: What callers may send.
        team_priorities: The distinct priorities of teams.
        ranks_per_team: How many ranks each team priority has for the priorities of routes.
    """

    version: int
    routes: Mapping[str, tuple[Route, ...]] = field(default_factory=dict)
    services: Mapping[str, Service] = field(default_factory=dict)
    keys: Mapping[str, CallerTeam] = field(default_factory=dict)
    requires_key: bool = False
    limits: CallerLimits = CallerLimits()
    team_priorities: tuple[int, ...] = ()
    ranks_per_team: int = 0

    def pooled_services(self) -> frozenset[str]:
        """Return the services whose servers take both the pieces of stages and requests."""
        targets = {
            target.service
            for routes in self.routes.values()
            for route in routes
            for target in route.targets
        }
        return frozenset(
            one.name
            for one in self.services.values()
            if one.batch is not None and one.name in targets
        )

    def urgency(self, caller: CallerTeam | None, route: Route) -> int:
        """Return the rank of a request; 0 is the most urgent.

        The team's priority takes precedence over the route's: requests of more urgent teams come
        first, and the route decides between teams of the same priority.
        """
        team = caller.priority if caller is not None else None
        above = sum(priority < team for priority in self.team_priorities) if team is not None else 0
        return above * self.ranks_per_team + route.priority

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path on a host, or None."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None
