# usagehandover.py -- Hands the accounting of result memory over to the next coordinator
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Hands the accounting of result memory over to the next coordinator."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from eliot import log_message

from mountladder.clocks.clock import Clock
from mountladder.forwarding.fleet import Fleet
from mountladder.membership.link import Link
from mountladder.metrics.metric import Metric
from mountladder.metrics.metrics import Metrics
from mountladder.results.resultusage import ResultUsage
from mountladder.results.usagereport import UsageReport

if TYPE_CHECKING:
    from mountladder.forwarding.batcher import Batcher
    from mountladder.forwarding.stagedispatch import StageDispatch

# The interval of reports to the standby, in milliseconds: about one call of a stage service. The
# accounting of a coordinator that dies is lost for at most this long.
REPORT_MS = 500.0


class UsageHandover:
    """Reports the memory in use at the servers of each service coordinated here to its standby.

    Args:
        fleet: The other instances.
        dispatch: Holds the batchers, which account for the memory.
        clock: The clock.
        metrics: Counts the reported servers.
        is_enabled: Returns whether memory for the results of a service is reserved.

    Attributes:
        reports: What was reported of each service.
        coordinated: The services that this instance coordinated at the last report.
    """

    def __init__(
        self,
        fleet: Fleet,
        dispatch: StageDispatch,
        clock: Clock,
        metrics: Metrics,
        is_enabled: Callable[[str], bool],
    ) -> None:
        self.fleet = fleet
        self.dispatch = dispatch
        self.clock = clock
        self.metrics = metrics
        self.is_enabled = is_enabled
        self.reports: dict[str, UsageReport] = {}
        self.coordinated: set[str] = set()
        fleet.subscribe(ResultUsage, self.handle)

    def run(self) -> None:
        """Report what has changed, again and again."""
        while True:
            self.clock.sleep(REPORT_MS)
            self.report()

    def report(self) -> None:
        """Report what has changed to the standby of each service coordinated here."""
        coordinated = self.coordinated_here()
        for service in coordinated - self.coordinated:
            self.log_inherited(service)
        self.coordinated = coordinated
        for service in sorted(coordinated):
            self.send(service, everything=False)

    def report_all(self) -> None:
        """Report everything, before this instance leaves."""
        for service in sorted(self.coordinated_here()):
            self.send(service, everything=True)

    def coordinated_here(self) -> set[str]:
        """Return the services that this instance coordinates."""
        services = list(self.dispatch.batchers)
        return {one for one in services if self.fleet.coordinator(one) is None}

    def send(self, service: str, everything: bool) -> None:
        """Send the standby of a service what it lacks.

        Args:
            service: The service.
            everything: Whether all is sent, also what others had made, since this instance leaves.
                Else two instances that both act as coordinator would return each other's usage.
        """
        batcher, link = self.dispatch.batcher(service), self.standby_link(service)
        limits = batcher.limits()
        if limits is None or link is None or not self.is_enabled(service):
            return
        now = self.clock.now()
        usages = batcher.result_memory.usages(now, everything)
        report = self.reports.setdefault(service, UsageReport())
        changed = report.changes(usages, link.peer.peer, limits.result_memory_bytes, now)
        entries = tuple(usages) if everything else changed
        if entries:
            self.metrics.count(Metric.RESULT_USAGES_SENT, number=len(entries))
            self.fleet.send_later(link, ResultUsage(service, entries))
        if everything:
            log_message(
                "result-usage-handed-over",
                service=service,
                to=link.peer.name,
                servers=len(entries),
                used_bytes=round(sum(one.used_bytes for one in entries)),
            )

    def standby_link(self, service: str) -> Link | None:
        """Return a link to the instance that coordinates a service next, or None."""
        for one in self.fleet.coordinators.ranked(service):
            link = self.fleet.links.get(one.peer)
            if one is not self.fleet.membership.me and link and self.fleet.is_usable(link):
                return link
        return None

    def handle(self, message: ResultUsage, link: Link) -> None:
        """Count the memory that another coordinator reports as in use."""
        if not self.is_enabled(message.service):
            return
        batcher: Batcher = self.dispatch.batcher(message.service)
        now = self.clock.now()
        listed = {one.name for one in self.fleet.directory.available(message.service)}
        for one in message.entries:
            if one.server in listed:
                batcher.result_memory.inherit(one, now)

    def log_inherited(self, service: str) -> None:
        """Log the memory that is in use when this instance becomes a service's coordinator."""
        now = self.clock.now()
        inherited = self.dispatch.batcher(service).result_memory.inherited
        known = [one for one in inherited.values() if one.until > now]
        if known:
            log_message(
                "result-usage-inherited",
                service=service,
                servers=len(known),
                used_bytes=round(sum(one.used(now) for one in known)),
                age_ms=round(now - max(one.since for one in known)),
            )
