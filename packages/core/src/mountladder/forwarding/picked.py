# picked.py -- A backend server picked for a request
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A backend server picked for a request."""

from __future__ import annotations

from dataclasses import dataclass

from mountladder.routing.choice import Choice


@dataclass(frozen=True, slots=True)
class Picked:
    """A backend server picked for a request.

    Attributes:
        choice: The routing decision.
        placement: The number of the placement order, or 0 if the server was chosen without one.
        source: The address of the server to fetch cached prompt parts from, or an empty string.
        read: The number of prompt tokens that the server is expected to prefill.
        ready_at: When a server that limits its request rate accepts the request.
    """

    choice: Choice
    placement: int = 0
    source: str = ""
    read: int = 0
    ready_at: float = 0.0
