# stagebacklogs.py -- Expected waits at stage services, computed here or reported by other instances
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Expected waits at stage services, computed here or reported by other instances."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from mountladder.admission.attemptkind import AttemptKind
from mountladder.clocks.clock import Clock
from mountladder.forwarding.backlog import Backlog, priority_class
from mountladder.forwarding.batcher import Batcher
from mountladder.forwarding.coordinators import COORDINATOR_HEARTBEAT_MS
from mountladder.forwarding.fleet import Fleet
from mountladder.forwarding.lending import Lending

# A report expires after this time: four heartbeats to a coordinator.
REPORT_TTL_MS = 4 * COORDINATOR_HEARTBEAT_MS


class StageBacklogs:
    """Reports the expected waits of new pieces at the coordinator of each service.

    Args:
        fleet: The other instances.
        batchers: The batchers of this instance, by their service.
        batcher: Returns the batcher of a service, created if there is none.
        lending: Holds the backlogs of other data centres.
        clock: The clock.

    Attributes:
        reported: The newest backlog that another instance reported for a service, and when.
    """

    def __init__(
        self,
        fleet: Fleet,
        batchers: Mapping[str, Batcher],
        batcher: Callable[[str], Batcher],
        lending: Lending,
        clock: Clock,
    ) -> None:
        self.fleet = fleet
        self.batchers = batchers
        self.batcher = batcher
        self.lending = lending
        self.clock = clock
        self.reported: dict[str, tuple[Backlog, float]] = {}

    def local_backlogs(self) -> tuple[Backlog, ...]:
        """Return the backlogs of the services that this instance coordinates."""
        # Divided services are included without local pieces too: other data centres may lend some.
        coordinated = self.batchers.keys() | self.fleet.division.divided
        services = [one for one in sorted(coordinated) if self.fleet.coordinator(one) is None]
        return tuple(self.local_backlog(service) for service in services)

    def local_backlog(self, service: str) -> Backlog:
        """Return the backlog of a service coordinated here, taking lending into account."""
        own = self.batcher(service).backlog()
        if not self.fleet.division.is_divided(service):
            return own
        elsewhere = self.lending.min_waits_ms(service, self.fleet.coordinator_links(service))
        waits = tuple(min(pair) for pair in zip(own.waits_ms, elsewhere, strict=True))
        return Backlog(service, waits, own.waits_ms)

    def record(self, backlog: Backlog, datacentre: str) -> None:
        """Record the backlog of a service that another instance coordinates."""
        if backlog.local_waits_ms and datacentre != self.fleet.membership.me.datacentre:
            self.lending.record_backlog(backlog, datacentre)
        else:
            self.reported[backlog.service] = (backlog, self.clock.now())

    def wait_ms(
        self,
        service: str,
        urgency: int,
        gives_way: bool = False,
        attempt: AttemptKind = AttemptKind.FIRST,
    ) -> float:
        """Return how long new pieces of a service are expected to wait, in milliseconds.

        A wait that another instance reported is reduced by the time since the report. A report
        that was not renewed is of an instance that is not the coordinator any more.
        """
        priority = priority_class(urgency, gives_way, attempt)
        if self.fleet.coordinator(service) is None:
            return self.local_backlog(service).waits_ms[priority]
        backlog, reported_at = self.reported.get(service, (None, 0.0))
        age_ms = self.clock.now() - reported_at
        if backlog is None or age_ms > REPORT_TTL_MS:
            return 0.0
        return max(0.0, backlog.waits_ms[priority] - age_ms)
