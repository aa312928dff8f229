# workload.py -- Load and faults of an experiment
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Load and faults of an experiment."""

from __future__ import annotations

import random
from dataclasses import dataclass

from mountladder_standins.trafficclass import TrafficClass


@dataclass(frozen=True, slots=True)
class Workload:
    """The load and faults of an experiment, modelled on a deployment.

    Attributes:
        name: Its name.
        classes: The traffic classes.
        generators: How many language-model servers there are; every other one is old.
        normal_load: The load outside the burst, as a fraction of capacity.
        burst_load: The load during the burst, as a fraction of capacity.
        burst_ms: How long the burst lasts; it begins after a third of load_ms.
        load_ms: How long requests are sent.
        slowed_generators: How many generators become ten times slower at the start of the burst.
        lost_generators: How many generators go down at the start of the burst.
        flooding_team: A team that sends ten times its share during the burst, or an empty string.
        report_lag_ms: How old the loads that servers report are.
    """

    name: str
    classes: tuple[TrafficClass, ...]
    generators: int
    normal_load: float = 0.6
    burst_load: float = 0.6
    burst_ms: float = 6_000.0
    load_ms: float = 18_000.0
    slowed_generators: int = 0
    lost_generators: int = 0
    flooding_team: str = ""
    report_lag_ms: float = 1_000.0

    @property
    def burst_start(self) -> float:
        """Return when the burst begins, in milliseconds after the start of the load."""
        return self.load_ms / 3.0

    def in_burst(self, at_ms: float) -> bool:
        """Return whether a time lies in the burst."""
        return self.burst_start <= at_ms < self.burst_start + self.burst_ms

    def draw(self, at_ms: float, rng: random.Random) -> TrafficClass:
        """Draw the traffic class of a request sent at a time.

        Args:
            at_ms: The time in milliseconds after the start of the load.
            rng: The random number generator.
        """
        weights = [
            one.share * (10.0 if one.team == self.flooding_team and self.in_burst(at_ms) else 1.0)
            for one in self.classes
        ]
        return rng.choices(self.classes, weights)[0]

    def rate(self, at_ms: float, capacity: float) -> float:
        """Return how many requests a second to send at a time.

        Args:
            at_ms: The time in milliseconds after the start of the load.
            capacity: How many requests a second the generators can finish.
        """
        if not self.in_burst(at_ms):
            return self.normal_load * capacity
        if not self.flooding_team:
            return self.burst_load * capacity
        flood = sum(one.share for one in self.classes if one.team == self.flooding_team)
        return self.normal_load * capacity * (1.0 + 9.0 * flood)
