# pickedserver.py -- A backend server picked for a request
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A backend server picked for a request."""

from __future__ import annotations

from dataclasses import dataclass

from mountladder.configuration.backendserver import BackendServer
from mountladder.routing.choice import Choice


@dataclass(frozen=True, slots=True)
class PickedServer:
    """A backend server picked for a request.

    Attributes:
        choice: The routing decision.
        placement_number: The number of the placement order, or 0 if there was none.
        source: The address of the server to fetch cached prompt parts from, or an empty string.
        prefill_tokens: The number of prompt tokens that the server is expected to prefill.
        ready_at: When a server that limits its request rate accepts the request.
        backup: The server to keep a copy of the request's cache, or None.
    """

    choice: Choice
    placement_number: int = 0
    source: str = ""
    prefill_tokens: int = 0
    ready_at: float = 0.0
    backup: BackendServer | None = None
