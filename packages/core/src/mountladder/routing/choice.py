# choice.py -- Result of choosing a backend server for an attempt
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Result of choosing a backend server for an attempt."""

from __future__ import annotations

from dataclasses import dataclass

from mountladder.routing.candidate import Candidate
from mountladder.routing.serverstate import ServerState


@dataclass(frozen=True, slots=True)
class Choice:
    """The backend server chosen for an attempt, with the estimates behind the choice.

    Attributes:
        state: The instance's view of the server.
        expected_ms: The expected time to completion, in milliseconds.
        unloaded_ms: The expected time on the unloaded server, in milliseconds.
        load_factor: The factor by which its estimated load lengthens the call, at least 1.
        allowed: The number of servers that the selectors allow.
        compared: The number of usable servers that were compared.
    """

    state: ServerState
    expected_ms: float
    unloaded_ms: float
    load_factor: float
    allowed: int
    compared: int

    @classmethod
    def of(cls, chosen: Candidate, allowed: int, compared: int) -> Choice:
        """Return the choice of a candidate, given the numbers of servers allowed and compared."""
        return cls(
            chosen.state,
            chosen.expected_ms,
            chosen.unloaded_ms,
            chosen.load_factor,
            allowed,
            compared,
        )

    def reason(self) -> str:
        """Return why the server was chosen, for the request's trace."""
        return (
            f"expected {self.expected_ms:.0f} ms, load factor {self.load_factor:.1f}, "
            f"{self.compared} of {self.allowed} allowed servers compared"
        )
