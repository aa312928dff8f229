# forwardattempt.py -- One attempt to send a request to a backend server
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""One attempt to send a request to a backend server."""

from __future__ import annotations

from dataclasses import dataclass

from mountladder.configuration.softwareversion import version_of
from mountladder.forwarding.pickedserver import PickedServer
from mountladder.routing.choice import Choice


@dataclass(frozen=True, slots=True)
class ForwardAttempt:
    """One attempt to send a request to a backend server.

    Attributes:
        picked: The server and the reason for the choice.
        started: When the request was sent, in the clock's milliseconds.
        number: The number of the attempt, from 1.
    """

    picked: PickedServer
    started: float
    number: int

    @property
    def choice(self) -> Choice:
        """Return the routing decision."""
        return self.picked.choice

    @property
    def server(self) -> str:
        """Return the name of the server."""
        return self.choice.state.server.name

    @property
    def version(self) -> str:
        """Return the version of the server's software, or an empty string if that is unknown."""
        return version_of(self.choice.state.server)
