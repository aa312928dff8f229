# stagebacklogs.py -- How long pieces wait, here and where others told
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""How long pieces wait, here and where others told."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from mountladder.clocks.clock import Clock
from mountladder.forwarding.backlog import Backlog, place
from mountladder.forwarding.batcher import Batcher
from mountladder.forwarding.fleet import Fleet
from mountladder.forwarding.lending import Lending


class StageBacklogs:
    """Knows how long new pieces of each service are expected to wait where they meet.

    Args:
        fleet: The other instances.
        batchers: The batchers of this instance, by their service.
        batcher: Returns the batcher of a service, a new one where there is none.
        lending: Knows how long pieces wait in other data centres.
        clock: The clock.
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
        """Return how long pieces wait that meet on this instance."""
        # Other data centres lend to this one also where it has had no such pieces itself.
        met = self.batchers.keys() | self.fleet.division.divided
        services = [one for one in sorted(met) if self.fleet.coordinator(one) is None]
        return tuple(self.own(service) for service in services)

    def own(self, service: str) -> Backlog:
        """Return how long pieces wait that meet on this instance, where it may lend them too."""
        own = self.batcher(service).backlog()
        if not self.fleet.division.is_divided(service):
            return own
        elsewhere = self.lending.least_waits(service, self.fleet.coordinator_links(service))
        waits = tuple(min(pair) for pair in zip(own.waits_ms, elsewhere, strict=True))
        return Backlog(service, waits, own.waits_ms)

    def take(self, backlog: Backlog, datacentre: str) -> None:
        """Take in how long pieces wait that meet on another instance."""
        if backlog.own_ms and datacentre != self.fleet.membership.me.datacentre:
            self.lending.hear(backlog, datacentre)
        else:
            self.told[backlog.service] = (backlog, self.clock.now())

    def wait_ms(self, service: str, urgency: int, gives_way: bool = False) -> float:
        """Return how long new pieces of a service are expected to wait, in milliseconds.

        What another instance told is taken to have been worked off since.
        """
        here = place(urgency, gives_way)
        if self.fleet.coordinator(service) is None:
            return self.own(service).waits_ms[here]
        backlog, told = self.told.get(service, (None, 0.0))
        if backlog is None:
            return 0.0
        return max(0.0, backlog.waits_ms[here] - (self.clock.now() - told))
