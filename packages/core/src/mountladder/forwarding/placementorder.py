# placementorder.py -- Asking where a prompt is to go
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Asking where a prompt is to go."""

from __future__ import annotations

from dataclasses import dataclass

from mountladder.forwarding.prompt import Prompt
from mountladder.routing.serverconstraints import ServerConstraints


@dataclass(frozen=True, slots=True)
class PlacementOrder:
    """Asking the instance where a service's prompts meet for a server.

    Attributes:
        number: Its number, by which the reply is matched.
        service: The service.
        prompt: The prompt.
        excluded: Names of servers that the asking instance does not want.
        site: The data centre where large inputs lie, or an empty string.
        patience_ms: How long it may wait before it is sent, where servers limit what they take.
        urgency: Its rank, 0 first.
    """

    number: int
    service: str
    prompt: Prompt
    excluded: tuple[str, ...]
    site: str
    patience_ms: float = 0.0
    urgency: int = 0

    @property
    def wish(self) -> ServerConstraints:
        """Return what it wants of its server."""
        return ServerConstraints(
            frozenset(self.excluded), self.site, self.patience_ms, self.urgency
        )
