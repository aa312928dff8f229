# serviceplan.py -- What the coordinator of a divided service measures and plans
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""What the coordinator of a divided service measures and plans."""

from __future__ import annotations

from collections.abc import Mapping

from mountladder.clocks.timer import MS_PER_SECOND
from mountladder.demand.datacentreload import DatacentreLoad, combined
from mountladder.demand.demandmeter import DemandMeter
from mountladder.demand.demandplan import DemandPlan
from mountladder.demand.demandreport import DemandReport
from mountladder.demand.reportschedule import REPORT_MS, ReportSchedule
from mountladder.demand.sharecounter import ShareCounter


class ServicePlan:
    """The state of one service while this instance coordinates it for its data centre.

    Args:
        since: When this instance found itself to be the coordinator, in the clock's milliseconds.

    Attributes:
        meter: Measures what callers of this data centre ask for.
        schedule: Holds the last report of this data centre.
        plan: The plan in force.
        counter: Counts the pieces that it assigns to other data centres.
    """

    def __init__(self, since: float) -> None:
        self.meter = DemandMeter(since)
        self.schedule = ReportSchedule()
        self.plan = DemandPlan()
        self.counter = ShareCounter()

    def report(self, service: str, capacity_per_s: float, now: float) -> DemandReport:
        """Return a report of what is asked for now."""
        meter = self.meter
        return DemandReport(service, meter.rate_per_s(now), meter.trend_per_s(now), capacity_per_s)

    def revise(self, here: str, others: Mapping[str, DatacentreLoad], now: float) -> None:
        """Make the next plan.

        Args:
            here: This data centre.
            others: The loads of the others that can be reached.
            now: The clock's time.
        """
        # This data centre counts with what it has reported, as it does in the plans of the others.
        last = self.schedule.last
        own = {} if last is None else {here: combined([(last, self.schedule.sent_at)])}
        self.plan = self.plan.revised(here, {**others, **own}, now)

    def count(self, pieces: int, now: float) -> None:
        """Count the pieces of a stage against the shares of the plan that are valid now."""
        last = self.schedule.last
        asked_per_s = last.asked_per_s if last is not None else 0.0
        recent_pieces = asked_per_s * REPORT_MS / MS_PER_SECOND
        self.counter.add(self.plan.valid_shares(now), pieces, recent_pieces)
