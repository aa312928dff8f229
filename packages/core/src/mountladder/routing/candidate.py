# candidate.py -- A backend server that may be chosen
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A backend server that may be chosen."""

from __future__ import annotations

from dataclasses import dataclass

from mountladder.routing.serverstate import ServerState


@dataclass(frozen=True, slots=True)
class Candidate:
    """A usable backend server and what choosing it is expected to mean.

    Attributes:
        state: What the instance knows of the server.
        unloaded_ms: The learnt time of this call there without any load.
        crowding: By how much the load it is believed to have lengthens the call.
        slowness: By how much it is slower than others of its accelerator.
        delay_ms: What the way to another data centre adds.
    """

    state: ServerState
    unloaded_ms: float
    crowding: float
    slowness: float
    delay_ms: float = 0.0

    @classmethod
    def at(
        cls, state: ServerState, unloaded_ms: float, now: float, delay_ms: float = 0.0
    ) -> Candidate:
        """Return a candidate as it is believed to be at a time."""
        crowding, slowness = state.crowding(now), state.slowness_at(now)
        return cls(state, unloaded_ms, crowding, slowness, delay_ms)

    @property
    def expected_ms(self) -> float:
        """Return the expected time to completion under the load it is believed to have."""
        return self.unloaded_ms * self.crowding * self.slowness + self.delay_ms

    @property
    def cost(self) -> float:
        """Return what the call is expected to cost, in the operator's unit."""
        return self.unloaded_ms * self.slowness * self.state.server.price
