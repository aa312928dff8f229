# reportschedule.py -- Decides when a data centre's demand is reported
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Decides when a data centre's demand is reported."""

from __future__ import annotations

from mountladder.clocks.timer import MS_PER_SECOND
from mountladder.demand.demandreport import DemandReport

# The interval between plans, and between reports at the shortest, in milliseconds: about two calls
# of a stage service.
REPORT_MS = 500.0
# The size of an encoded report, and what reports of one service may take, in bytes per second. With
# 6 receivers or less that allows a report in each REPORT_MS, with 15 one in 1.2 s.
REPORT_BYTES = 80
MAX_BYTES_PER_S = 1_000.0
# The interval between reports that say the same, in milliseconds: less than REPORT_TTL_MS.
REPEAT_MS = 1_500.0
# The relative change of rate or capacity that is reported before that.
MIN_CHANGE = 0.1


class ReportSchedule:
    """Decides when to report the demand and capacity of a service.

    Attributes:
        last: The last report, or None.
        sent_at: When it was sent, in the clock's milliseconds.
    """

    def __init__(self) -> None:
        self.last: DemandReport | None = None
        self.sent_at = float("-inf")

    def is_due(
        self, report: DemandReport, is_used_elsewhere: bool, receivers: int, now: float
    ) -> bool:
        """Return whether to send a report now.

        Args:
            report: The report.
            is_used_elsewhere: Whether other data centres ask the service for anything. They may
                need the capacity that is unused here.
            receivers: The number of coordinators that it would be sent to.
            now: The clock's time.
        """
        is_used = report.asked_per_s > 0.0 or is_used_elsewhere
        if self.last is None:
            return is_used
        age_ms = now - self.sent_at
        if age_ms < receivers * REPORT_BYTES * MS_PER_SECOND / MAX_BYTES_PER_S:
            return False
        if has_changed(self.last.asked_per_s, report.asked_per_s):
            return True
        if has_changed(self.last.capacity_per_s, report.capacity_per_s):
            return True
        return is_used and age_ms >= REPEAT_MS

    def record(self, report: DemandReport, now: float) -> None:
        """Record that a report was sent."""
        self.last, self.sent_at = report, now


def has_changed(before: float, after: float) -> bool:
    """Return whether a value differs by more than MIN_CHANGE from the one reported before."""
    return abs(after - before) > MIN_CHANGE * max(before, after)
