# demandexchange.py -- Reports demand to coordinators of other data centres, and makes the plans
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Reports demand to coordinators of other data centres, and makes the plans."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from eliot import log_message

from mountladder.clocks.clock import Clock
from mountladder.clocks.timer import MS_PER_SECOND
from mountladder.demand.demandreport import DemandReport
from mountladder.demand.planlog import PlanLog
from mountladder.demand.reportschedule import REPORT_MS
from mountladder.demand.serviceplan import ServicePlan
from mountladder.forwarding.fleet import Fleet
from mountladder.membership.link import Link
from mountladder.metrics.metric import Metric

if TYPE_CHECKING:
    from mountladder.forwarding.batcher import Batcher
    from mountladder.forwarding.forwardingsettings import ForwardingSettings
    from mountladder.forwarding.stagedispatch import StageDispatch


class DemandExchange:
    """Measures, reports and plans for the divided services that this instance coordinates.

    Args:
        fleet: The other instances.
        dispatch: Holds the batchers and the plans.
        clock: The clock.
        settings: Returns the settings in force.
    """

    def __init__(
        self,
        fleet: Fleet,
        dispatch: StageDispatch,
        clock: Clock,
        settings: Callable[[], ForwardingSettings],
    ) -> None:
        self.fleet = fleet
        self.dispatch = dispatch
        self.clock = clock
        self.settings = settings
        self.plans = dispatch.stage_lending.plans
        self.log = PlanLog()
        fleet.subscribe(DemandReport, self.receive)

    def run(self) -> None:
        """Report and plan periodically, forever."""
        while True:
            self.clock.sleep(REPORT_MS)
            self.update()

    def update(self) -> None:
        """Report and plan for each service that this instance coordinates now."""
        now = self.clock.now()
        coordinated = self.coordinated_here()
        kept = {name: one for name, one in self.plans.services.items() if name in coordinated}
        # What was planned when this instance was the coordinator before is not used again.
        self.plans.services = kept
        self.plans.reports.drop_expired(now)
        for service in sorted(coordinated):
            if service in kept:
                self.update_service(service, kept[service], now)
            else:
                log_message("demand-measured", service=service)
                kept[service] = ServicePlan(now)
        shares = (sum(one.plan.shares.values()) for one in kept.values())
        self.fleet.metrics.gauge(Metric.PLANNED_SHARE, max(shares, default=0.0))

    def coordinated_here(self) -> set[str]:
        """Return the divided stage services that this instance coordinates."""
        if not self.settings().plan_demand:
            return set()
        return {
            one
            for one in self.fleet.division.divided
            if self.has_stages(one) and self.fleet.coordinator(one) is None
        }

    def has_stages(self, service: str) -> bool:
        """Return whether the catalogue has a service as one that runs stages."""
        found = self.fleet.follower.service(service)
        return found is not None and found.batch is not None

    def update_service(self, service: str, state: ServicePlan, now: float) -> None:
        """Report the demand for a service and plan where it is served."""
        if not state.meter.is_complete(now):
            return
        links = self.fleet.coordinator_links(service)
        loads = self.plans.reports.loads(service, now)
        capacity_per_s = local_capacity_per_s(
            self.dispatch.batcher(service), self.fleet.membership.me.datacentre, now
        )
        report = state.report(service, capacity_per_s, now)
        is_used_elsewhere = any(one.demand_per_s > 0.0 for one in loads.values())
        if state.schedule.is_due(report, is_used_elsewhere, len(links), now):
            state.schedule.record(report, now)
            for link in links.values():
                self.fleet.send_later(link, report)
            self.fleet.metrics.count(Metric.DEMAND_REPORTS, number=len(links))
        reachable = {name: one for name, one in loads.items() if name in links}
        state.revise(self.fleet.membership.me.datacentre, reachable, now)
        self.log.write_changes(service, state, reachable, now)

    def receive(self, report: DemandReport, link: Link) -> None:
        """Keep what the coordinator of another data centre reports."""
        self.plans.reports.record(report, link.peer.peer, link.peer.datacentre, self.clock.now())


def local_capacity_per_s(batcher: Batcher, datacentre: str, now: float) -> float:
    """Return the pieces per second that the usable servers of a data centre can produce.

    Without servers of its own, a coordinator may use those of other data centres; they count there.
    Cold servers count as nothing, since they accept few pieces.
    """
    limits, servers = batcher.limits(), batcher.servers
    if limits is None:
        return 0.0
    local = [one for one in servers.usable(now) if one.server.datacentre == datacentre]
    cold = servers.cold.cold(one.server for one in local)
    return MS_PER_SECOND * sum(
        servers.pieces_per_ms(one, limits, now) for one in local if one.server.name not in cold
    )
