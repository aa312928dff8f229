# demandplans.py -- The plans of the divided services that an instance coordinates
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The plans of the divided services that an instance coordinates."""

from __future__ import annotations

from collections.abc import Collection

from mountladder.clocks.clock import Clock
from mountladder.demand.reporttable import ReportTable
from mountladder.demand.serviceplan import ServicePlan


class DemandPlans:
    """The plans of the divided services that this instance coordinates, and reports by others.

    Args:
        clock: The clock.

    Attributes:
        services: The plan of each service that this instance coordinates; empty if none is made.
        reports: What coordinators of other data centres reported.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.services: dict[str, ServicePlan] = {}
        self.reports = ReportTable()

    def record(self, service: str, pieces: int) -> None:
        """Record pieces that callers of this data centre ask for."""
        found = self.services.get(service)
        if found is not None:
            found.meter.record(pieces, self.clock.now())

    def has_shares(self, service: str) -> bool:
        """Return whether any pieces of a service are planned to be sent elsewhere."""
        found = self.services.get(service)
        return found is not None and bool(found.plan.shares)

    def choose(self, service: str, pieces: int, allowed: Collection[str]) -> str:
        """Return the data centre that the plan sends a stage to; empty if it stays.

        Args:
            service: The service.
            pieces: The number of pieces of the stage.
            allowed: The data centres that it may be sent to.
        """
        found = self.services.get(service)
        if found is None:
            return ""
        found.count(pieces, self.clock.now())
        return found.counter.choose(pieces, allowed)

    def record_sent(self, service: str, datacentre: str, pieces: int) -> None:
        """Record that a stage was sent to another data centre, by the plan or otherwise."""
        found = self.services.get(service)
        if found is not None:
            found.counter.record_sent(datacentre, pieces)

    def describe(self, service: str, datacentre: str, is_planned: bool) -> dict[str, object]:
        """Return the fields of a log line about a stage that is lent.

        Args:
            service: The service.
            datacentre: The data centre that the stage is sent to.
            is_planned: Whether the plan sends it there.
        """
        found = self.services.get(service)
        if found is None or not is_planned:
            return {"reason": "backlog"}
        plan = found.plan
        return {
            "reason": "plan",
            "plan": plan.version,
            "share": round(plan.shares[datacentre], 3),
            "report_age_ms": round(self.clock.now() - plan.reported_at[datacentre]),
        }
