# stagecallstate.py -- A call to a server of a stage service that is under way
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A call to a server of a stage service that is under way."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StageCallState:
    """A call to a server of a stage service that is under way.

    Attributes:
        started: When it was sent.
        expected_ms: How long it is expected to take.
        pieces: How many pieces it carries.
    """

    started: float
    expected_ms: float
    pieces: int

    def left(self, now: float) -> float:
        """Return how long it is expected to take from now on, in milliseconds."""
        return max(0.0, self.started + self.expected_ms - now)
