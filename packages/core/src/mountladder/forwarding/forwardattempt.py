# forwardattempt.py -- One sending of a request to a backend server
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""One sending of a request to a backend server."""

from __future__ import annotations

from dataclasses import dataclass

from mountladder.forwarding.picked import Picked
from mountladder.routing.choice import Choice


@dataclass(frozen=True, slots=True)
class ForwardAttempt:
    """One sending of a request to a backend server.

    Attributes:
        picked: The server, and why it was chosen.
        started: When it was sent.
        number: Which sending of the request it is, from 1.
    """

    picked: Picked
    started: float
    number: int

    @property
    def choice(self) -> Choice:
        """Return the server, and why it was chosen."""
        return self.picked.choice

    @property
    def server(self) -> str:
        """Return the id of the server."""
        return self.choice.state.server.name
