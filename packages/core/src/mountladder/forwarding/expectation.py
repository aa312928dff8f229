# expectation.py -- How long a request is expected to take
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""How long a request is expected to take."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Expectation:
    """How long a request is expected to take to its first event.

    Attributes:
        stages_ms: What its stages take if nothing else waits.
        reading_ms: What its prompt takes after them.
        waiting_ms: By how much the pieces of others that wait delay its stages.
        factor: What requests of its route took over what was expected.
    """

    stages_ms: float
    reading_ms: float
    waiting_ms: float
    factor: float

    @property
    def ms(self) -> float:
        """Return the expected time, in milliseconds."""
        return (self.stages_ms + self.reading_ms + self.waiting_ms) * self.factor

    def fields(self) -> dict[str, float]:
        """Return what a log line tells of it."""
        return {
            "expected_ms": round(self.ms),
            "stages_ms": round(self.stages_ms),
            "reading_ms": round(self.reading_ms),
            "waiting_ms": round(self.waiting_ms),
            "factor": round(self.factor, 2),
        }
