# stagecallstate.py -- A running call to a server of a stage service
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A running call to a server of a stage service."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StageCallState:
    """A running call to a server of a stage service.

    Attributes:
        started: When it was sent, in the clock's milliseconds.
        expected_ms: Its expected duration in milliseconds.
        pieces: The number of pieces in it.
    """

    started: float
    expected_ms: float
    pieces: int

    def remaining_ms(self, now: float) -> float:
        """Return the expected time until the call completes, in milliseconds."""
        return max(0.0, self.started + self.expected_ms - now)
