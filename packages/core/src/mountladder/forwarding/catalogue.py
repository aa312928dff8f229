# catalogue.py -- Everything the operator configured, at one version
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Everything the operator configured, at one version."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from mountladder.forwarding.callerlimits import CallerLimits
from mountladder.forwarding.callerteam import CallerTeam
from mountladder.forwarding.route import Route
from mountladder.forwarding.service import Service


@dataclass(frozen=True, slots=True)
class Catalogue:
    """Everything the operator configured, at one version.

    Attributes:
        version: Its version; a higher one replaces a lower one.
        routes: The routes of each host, the longest prefix first.
        services: The services by name.
        keys: Who holds each API key.
        guarded: Whether requests need a key on routes that are not public.
        limits: What callers may send.
        team_levels: The different priorities that teams have.
        route_span: How many ranks the routes of one such level take up.
    """

    version: int
    routes: Mapping[str, tuple[Route, ...]] = field(default_factory=dict)
    services: Mapping[str, Service] = field(default_factory=dict)
    keys: Mapping[str, CallerTeam] = field(default_factory=dict)
    guarded: bool = False
    limits: CallerLimits = CallerLimits()
    team_levels: tuple[int, ...] = ()
    route_span: int = 0

    def urgency(self, caller: CallerTeam | None, route: Route) -> int:
        """Return the rank of a request, 0 first.

        A team's priority goes before the route's: all of a more urgent team come first, and among
        those of equally urgent teams the route decides.
        """
        team = caller.priority if caller is not None else None
        above = sum(level < team for level in self.team_levels) if team is not None else 0
        return above * self.route_span + route.priority

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of a request: the longest prefix of its host that begins its path."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None
