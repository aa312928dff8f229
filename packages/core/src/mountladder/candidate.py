# candidate.py -- A backend server that may be chosen
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A backend server that may be chosen."""

from __future__ import annotations

from dataclasses import dataclass

from mountladder.serverstate import ServerState


@dataclass(frozen=True, slots=True)
class Candidate:
    """A usable backend server and what choosing it is expected to mean.

    Attributes:
        state: What the instance knows of the server.
        unloaded_ms: The learnt time of this call there without any load.
        holds_prefix: Whether the server is believed to hold the call's prefix.
    """

    state: ServerState
    unloaded_ms: float
    holds_prefix: bool = False

    @property
    def expected_ms(self) -> float:
        """Return the expected time to completion under the load it is believed to have."""
        crowding = max(1.0, (self.state.load + 1) / self.state.server.slots)
        return self.unloaded_ms * crowding * max(1.0, self.state.slowness)

    @property
    def cost(self) -> float:
        """Return what the call is expected to cost, in the operator's unit."""
        return self.unloaded_ms * max(1.0, self.state.slowness) * self.state.server.price
