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
        usual_ms: What a usual request of its route takes if nothing waits.
        factor: What requests of its route took over what was expected.
        gives_way: Whether it cannot be on time and its stages give way to all that can.
    """

    stages_ms: float
    reading_ms: float
    waiting_ms: float
    usual_ms: float
    factor: float
    gives_way: bool = False

    @property
    def own_ms(self) -> float:
        """Return what it takes by itself, as it is worked out, in milliseconds."""
        return self.stages_ms + self.reading_ms

    @property
    def ms(self) -> float:
        """Return the expected time, in milliseconds."""
        return (self.own_ms + self.waiting_ms) * self.factor

    @property
    def route_ms(self) -> float:
        """Return the time that a usual request of its route would take now, in milliseconds."""
        return (self.usual_ms + self.waiting_ms) * self.factor

    def fields(self) -> dict[str, float | bool]:
        """Return what a log line tells of it."""
        return {
            "expected_ms": round(self.ms),
            "stages_ms": round(self.stages_ms),
            "reading_ms": round(self.reading_ms),
            "waiting_ms": round(self.waiting_ms),
            "usual_ms": round(self.usual_ms),
            "factor": round(self.factor, 2),
            "gives_way": self.gives_way,
        }
