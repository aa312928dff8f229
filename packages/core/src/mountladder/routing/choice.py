# choice.py -- A routing decision
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A routing decision."""

from __future__ import annotations

from dataclasses import dataclass

from mountladder.routing.candidate import Candidate
from mountladder.routing.serverstate import ServerState


@dataclass(frozen=True, slots=True)
class Choice:
    """A backend server chosen for an attempt.

    Attributes:
        state: What the instance knows of the server.
        expected_ms: The expected time to completion.
        unloaded_ms: The expected time without load.
        crowding: By how much the load it is believed to have lengthens the call.
        allowed: How many servers the selectors allow.
        compared: How many usable ones were compared.
    """

    state: ServerState
    expected_ms: float
    unloaded_ms: float
    crowding: float
    allowed: int
    compared: int

    @classmethod
    def of(cls, chosen: Candidate, allowed: int, compared: int) -> Choice:
        """Return the decision for a candidate out of so many."""
        return cls(
            chosen.state,
            chosen.expected_ms,
            chosen.unloaded_ms,
            chosen.crowding,
            allowed,
            compared,
        )

    def reason(self) -> str:
        """Return why the server was chosen, in words."""
        return (
            f"expected {self.expected_ms:.0f} ms, crowding {self.crowding:.1f}, "
            f"{self.compared} of {self.allowed} allowed servers compared"
        )
