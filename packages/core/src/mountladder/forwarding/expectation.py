# expectation.py -- Expected time of a request until its first event
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Expected time of a request until its first event."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Expectation:
    """Expected time of a request until its first event.

    Attributes:
        stages_ms: The time of its stages without waits for the pieces of others.
        reading_ms: The time that its prompt takes after the stages.
        waiting_ms: The delay of its stages by waiting pieces of others.
        usual_ms: The usual time of a request of its route without waits.
        factor: The ratio of actual to expected time on its route.
        gives_way: Whether it can't be on time and its stages are queued behind all that can.
        model_wait_ms: The time that its prompt waits for a model server, 0 if nothing is known.
        model_age_ms: The age of what is known about that, or None if nothing is known.
        elapsed_ms: The time since the request arrived, such as that in which its body was read.
    """

    stages_ms: float
    reading_ms: float
    waiting_ms: float
    usual_ms: float
    factor: float
    gives_way: bool = False
    model_wait_ms: float = 0.0
    model_age_ms: float | None = None
    elapsed_ms: float = 0.0

    @property
    def processing_ms(self) -> float:
        """Return its expected time without waits, uncorrected by the factor, in milliseconds."""
        return self.stages_ms + self.reading_ms

    @property
    def all_waiting_ms(self) -> float:
        """Return its expected waits at stages and model servers, in milliseconds."""
        return self.waiting_ms + self.model_wait_ms

    @property
    def ms(self) -> float:
        """Return its expected time in milliseconds."""
        return (self.processing_ms + self.all_waiting_ms) * self.factor

    @property
    def route_ms(self) -> float:
        """Return the expected time of a usual request of its route now, in milliseconds."""
        return (self.usual_ms + self.all_waiting_ms) * self.factor

    def log_fields(self) -> dict[str, float | bool | None]:
        """Return its fields for log lines."""
        return {
            "expected_ms": round(self.ms),
            "stages_ms": round(self.stages_ms),
            "reading_ms": round(self.reading_ms),
            "waiting_ms": round(self.waiting_ms),
            "model_wait_ms": round(self.model_wait_ms),
            "model_age_ms": None if self.model_age_ms is None else round(self.model_age_ms),
            "elapsed_ms": round(self.elapsed_ms),
            "usual_ms": round(self.usual_ms),
            "factor": round(self.factor, 2),
            "gives_way": self.gives_way,
        }
