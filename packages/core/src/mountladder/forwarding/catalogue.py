# catalogue.py -- Everything the operator configured, at one version
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Everything the operator configured, at one version."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from mountladder.forwarding.callerlimits import CallerLimits
from mountladder.forwarding.keyholder import KeyHolder
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
    """

    version: int
    routes: Mapping[str, tuple[Route, ...]] = field(default_factory=dict)
    services: Mapping[str, Service] = field(default_factory=dict)
    keys: Mapping[str, KeyHolder] = field(default_factory=dict)
    guarded: bool = False
    limits: CallerLimits = CallerLimits()

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of a request: the longest prefix of its host that begins its path."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None
