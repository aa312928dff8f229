# stagebacklogs.py -- Expected waits at stage services, computed here or reported by other instances
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Expected waits at stage services, computed here or reported by other instances."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from mountladder.clocks.clock import Clock
from mountladder.forwarding.backlog import Backlog, place
from mountladder.forwarding.batcher import Batcher
from mountladder.forwarding.fleet import Fleet
from mountladder.forwarding.lending import Lending


class StageBacklogs:
    """Reports the expected waits of new pieces at the coordinator of each service.

    Args:
        fleet: The other instances.
        batchers: The batchers of this instance, by their service.
        batcher: Returns the batcher of a service, created if there is none.
        lending: Holds the backlogs of other data centres.
        clock: The clock.

    Attributes:
        told: The newest backlog that another instance reported for a service, and when.
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
        self.told: dict[str, tuple[Backlog, float]] = {}

    def here(self) -> tuple[Backlog, ...]:
        """Return the backlogs of the services that this instance coordinates."""
        # Divided services are included without local pieces too: other data centres may lend some.
        met = self.batchers.keys() | self.fleet.division.divided
        services = [one for one in sorted(met) if self.fleet.home(one) is None]
        return tuple(self.own(service) for service in services)

    def own(self, service: str) -> Backlog:
        """Return the backlog of a service coordinated here, taking lending into account."""
        own = self.batcher(service).backlog()
        if not self.fleet.division.is_divided(service):
            return own
        elsewhere = self.lending.least_waits(service, self.fleet.places(service))
        waits = tuple(min(pair) for pair in zip(own.waits_ms, elsewhere, strict=True))
        return Backlog(service, waits, own.waits_ms)

    def take(self, backlog: Backlog, datacentre: str) -> None:
        """Record the backlog of a service that another instance coordinates."""
        if backlog.own_ms and datacentre != self.fleet.membership.me.datacentre:
            self.lending.hear(backlog, datacentre)
        else:
            self.told[backlog.service] = (backlog, self.clock.now())

    def wait_ms(self, service: str, urgency: int, gives_way: bool = False) -> float:
        """Return how long new pieces of a service are expected to wait, in milliseconds.

        A wait that another instance reported is reduced by the time since the report.
        """
        here = place(urgency, gives_way)
        if self.fleet.home(service) is None:
            return self.own(service).waits_ms[here]
        backlog, told = self.told.get(service, (None, 0.0))
        if backlog is None:
            return 0.0
        return max(0.0, backlog.waits_ms[here] - (self.clock.now() - told))
