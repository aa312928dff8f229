# placementorder.py -- Request to a placement coordinator for a server for a prompt
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Request to a placement coordinator for a server for a prompt."""

from __future__ import annotations

from dataclasses import dataclass

from mountladder.forwarding.prompt import Prompt
from mountladder.routing.serverconstraints import ServerConstraints


@dataclass(frozen=True, slots=True)
class PlacementOrder:
    """Request to a service's placement coordinator for a server for a prompt.

    Attributes:
        number: Identifies the order; the reply carries the same number.
        service: The name of the service.
        prompt: The prompt.
        excluded: Names of servers that the requesting instance excludes.
        site: The data centre that holds large inputs, or an empty string.
        max_wait_ms: How long the request may wait for a rate-limited server, in milliseconds.
        urgency: The request's priority; 0 is the most urgent.
        wants_backup: Whether a second server is to keep a copy of the request's cache.
        size: The size of the request's body, in bytes.
    """

    number: int
    service: str
    prompt: Prompt
    excluded: tuple[str, ...]
    site: str
    max_wait_ms: float = 0.0
    urgency: int = 0
    wants_backup: bool = False
    size: int = 0

    @property
    def constraints(self) -> ServerConstraints:
        """Return the constraints on the server."""
        return ServerConstraints(
            frozenset(self.excluded), self.site, self.max_wait_ms, self.urgency
        )
