# reporttable.py -- The demand that coordinators of other data centres reported
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The demand that coordinators of other data centres reported."""

from __future__ import annotations

from mountladder.demand.datacentreload import DatacentreLoad, combined
from mountladder.demand.demandreport import DemandReport

# A report expires after this time, in milliseconds: one is sent at least every 1.5 s while a
# service is used, so that it outlives a delay, and a lost report ends the plan for its sender.
REPORT_TTL_MS = 2_000.0


class ReportTable:
    """The newest report of each service by each coordinator.

    The load it handles: reports that stop, since a coordinator has died or is cut off, and two
    coordinators of one data centre.

    Attributes:
        received: The data centre, the report and when it was received, by service and peer.
    """

    def __init__(self) -> None:
        self.received: dict[tuple[str, str], tuple[str, DemandReport, float]] = {}

    def record(self, report: DemandReport, peer: str, datacentre: str, now: float) -> None:
        """Record a report.

        Args:
            report: The report.
            peer: The address of its sender.
            datacentre: The data centre of its sender.
            now: When it was received, in the clock's milliseconds.
        """
        self.received[report.service, peer] = (datacentre, report, now)

    def drop_expired(self, now: float) -> None:
        """Drop expired reports."""
        self.received = {
            key: one for key, one in self.received.items() if now - one[2] <= REPORT_TTL_MS
        }

    def loads(self, service: str, now: float) -> dict[str, DatacentreLoad]:
        """Return the load of each data centre that reported of a service recently."""
        reports: dict[str, list[tuple[DemandReport, float]]] = {}
        for (name, _), (datacentre, report, at) in self.received.items():
            if name == service and now - at <= REPORT_TTL_MS:
                reports.setdefault(datacentre, []).append((report, at))
        return {datacentre: combined(found) for datacentre, found in reports.items()}
