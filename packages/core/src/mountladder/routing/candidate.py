# candidate.py -- Backend server considered for a call, with its expected time and cost
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Backend server considered for a call, with its expected time and cost."""

from __future__ import annotations

from dataclasses import dataclass

from mountladder.routing.serverstate import ServerState


@dataclass(frozen=True, slots=True)
class Candidate:
    """A usable backend server with the expected time and cost of a call there.

    Attributes:
        state: The instance's view of the server.
        unloaded_ms: The learned time of this call on the unloaded server, in milliseconds.
        load_factor: The factor by which its estimated load lengthens the call, at least 1.
        slowness: How much slower it is at present than expected, at least 1.
        delay_ms: The time that a call to another data centre adds, in milliseconds.
    """

    state: ServerState
    unloaded_ms: float
    load_factor: float
    slowness: float
    delay_ms: float = 0.0

    @classmethod
    def at(
        cls, state: ServerState, unloaded_ms: float, now: float, delay_ms: float = 0.0
    ) -> Candidate:
        """Return a candidate with the server's estimated load and slowness at a time."""
        load_factor, slowness = state.load_factor(now), state.excess_at(now)
        return cls(state, unloaded_ms, load_factor, slowness, delay_ms)

    @property
    def expected_ms(self) -> float:
        """Return the expected time to completion under its estimated load, in milliseconds."""
        return self.unloaded_ms * self.load_factor * self.slowness + self.delay_ms

    @property
    def cost(self) -> float:
        """Return the expected cost of the call, in the operator's unit."""
        return self.unloaded_ms * self.slowness * self.state.server.price
