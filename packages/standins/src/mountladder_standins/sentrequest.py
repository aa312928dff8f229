# sentrequest.py -- One request of an experiment
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""One request of an experiment."""

from __future__ import annotations

from dataclasses import dataclass

from mountladder_standins.outcome import Outcome
from mountladder_standins.trafficclass import TrafficClass


@dataclass(frozen=True, slots=True)
class SentRequest:
    """One request of an experiment and what came of it.

    Attributes:
        kind: Its kind.
        at_ms: When it was sent, in milliseconds after the start.
        work_ms: Its time on a new generator that runs nothing else.
        outcome: What the caller got.
    """

    kind: TrafficClass
    at_ms: float
    work_ms: float
    outcome: Outcome

    @property
    def ended_ms(self) -> float:
        """Return when the caller got its outcome."""
        return self.at_ms + self.outcome.took_ms

    def in_time(self, deadline_ms: float) -> bool:
        """Tell whether it got its whole answer within a deadline."""
        return self.outcome.result == "done" and self.outcome.took_ms <= deadline_ms
