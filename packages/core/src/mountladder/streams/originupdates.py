# originupdates.py -- Tells origins to instances that come to hold them later
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Tells origins to instances that come to hold them later."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from mountladder.clocks.clock import Clock
from mountladder.membership.link import Link
from mountladder.streams.originexchange import OriginExchange
from mountladder.streams.streamorigin import StreamOrigin

CHECK_MS = 250.0


class OriginUpdates:
    """Tells the streams of this instance to instances that come to hold their origins later.

    Others hold them once instances start, end or change their rank, and one may not be reached when
    a stream begins. Who asks asks those that hold origins then.

    Args:
        exchange: Tells other instances.
        own_origins: Returns the origins of the streams of a service that this instance runs.
        clock: The clock.

    Attributes:
        links: The links over which the origins of each service were told at the last check.
    """

    def __init__(
        self,
        exchange: OriginExchange,
        own_origins: Callable[[str], Sequence[StreamOrigin]],
        clock: Clock,
    ) -> None:
        self.exchange = exchange
        self.own_origins = own_origins
        self.clock = clock
        self.links: dict[str, set[Link]] = {}

    def run(self) -> None:
        """Tell origins to instances that come to hold them, forever."""
        while True:
            self.check()
            self.clock.sleep(CHECK_MS)

    def add_service(self, service: str) -> None:
        """Note that this instance runs streams of a service."""
        if service not in self.links:
            self.links[service] = set(self.exchange.holders.told_links(service))

    def check(self) -> None:
        """Tell origins over links that they were not told over at the last check."""
        for service, before in self.links.items():
            links = self.links[service] = set(self.exchange.holders.told_links(service))
            if links - before:
                self.exchange.tell(self.own_origins(service), links - before)
