# sentrequest.py -- A request of an experiment and its outcome
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A request of an experiment and its outcome."""

from __future__ import annotations

from dataclasses import dataclass

from mountladder_standins.outcome import Outcome
from mountladder_standins.trafficclass import TrafficClass


@dataclass(frozen=True, slots=True)
class SentRequest:
    """One request of an experiment and its outcome.

    Attributes:
        traffic_class: Its traffic class.
        at_ms: When it was sent, in milliseconds after the start of the measured load.
        work_ms: How long it takes alone on a new generator, in milliseconds.
        outcome: What the caller got.
    """

    traffic_class: TrafficClass
    at_ms: float
    work_ms: float
    outcome: Outcome

    @property
    def ended_ms(self) -> float:
        """Return when the caller got its outcome, in milliseconds after the start."""
        return self.at_ms + self.outcome.took_ms

    def in_time(self, deadline_ms: float) -> bool:
        """Return whether it was answered completely within a deadline."""
        return self.outcome.result == "done" and self.outcome.took_ms <= deadline_ms
