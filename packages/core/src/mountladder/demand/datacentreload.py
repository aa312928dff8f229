# datacentreload.py -- Demand and capacity of one data centre for a service
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Demand and capacity of one data centre for a service."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

from mountladder.clocks.timer import MS_PER_SECOND
from mountladder.demand.demandreport import DemandReport

# How far ahead demand is foreseen, in milliseconds: the interval between two plans.
LOOK_AHEAD_MS = 500.0
# Load up to which a data centre is used, its own work and that of others: above it, the pieces of
# each call wait for about one more call.
FULL_LOAD = 0.9


@dataclass(frozen=True, slots=True)
class DatacentreLoad:
    """What the callers of a data centre ask of a service, and what its servers can produce.

    Attributes:
        demand_per_s: The pieces per second that are expected to be asked for.
        capacity_per_s: The pieces per second that the servers can produce.
        reported_at: When this was reported, in the clock's milliseconds.
    """

    demand_per_s: float
    capacity_per_s: float
    reported_at: float

    @property
    def load(self) -> float:
        """Return the demand divided by the capacity; infinite if there is none for a demand."""
        if self.capacity_per_s > 0.0:
            return self.demand_per_s / self.capacity_per_s
        return math.inf if self.demand_per_s > 0.0 else 0.0

    @property
    def excess_per_s(self) -> float:
        """Return the demand above FULL_LOAD, in pieces per second."""
        return max(0.0, self.demand_per_s - FULL_LOAD * self.capacity_per_s)

    @property
    def room_per_s(self) -> float:
        """Return what is left up to FULL_LOAD, in pieces per second."""
        return max(0.0, FULL_LOAD * self.capacity_per_s - self.demand_per_s)


def combined(reports: Sequence[tuple[DemandReport, float]]) -> DatacentreLoad:
    """Return the load of a data centre from the reports of its coordinators.

    Usually there is one. Two that both act as coordinator see different callers and the same
    servers: their demand adds up, their capacity does not.

    Args:
        reports: At least one report, each with when it was received.
    """
    return DatacentreLoad(
        sum(_foreseen_per_s(report) for report, _ in reports),
        max(report.capacity_per_s for report, _ in reports),
        max(at for _, at in reports),
    )


def _foreseen_per_s(report: DemandReport) -> float:
    return max(0.0, report.asked_per_s + report.trend_per_s * LOOK_AHEAD_MS / MS_PER_SECOND)
