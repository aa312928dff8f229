# quarantineservice.py -- The quarantine of one instance, put together
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The quarantine of one instance, put together."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from mountladder.clocks.clock import Clock
from mountladder.configuration.backendserver import BackendServer
from mountladder.membership.linkmanager import LinkManager
from mountladder.metrics.metrics import Metrics
from mountladder.quarantine.case import Case
from mountladder.quarantine.fingerprint import fingerprint
from mountladder.quarantine.quarantine import Quarantine
from mountladder.quarantine.serverends import ServerEnds
from mountladder.quarantine.serverlisting import ServerListing
from mountladder.quarantine.suspicionexchange import SuspicionExchange


class QuarantineService:
    """The quarantine of one instance: its book, how ends are noticed, and how others are told.

    Args:
        refuses: Tells whether nobody listens at a server's address.
        listing: What the list of servers tells of ends.
        link_manager: Keeps the links to the other instances.
        secret: Returns the key that all instances share.
        clock: The clock.
        metrics: Where metrics go.
    """

    def __init__(
        self,
        refuses: Callable[[BackendServer], bool],
        listing: ServerListing,
        link_manager: LinkManager,
        secret: Callable[[], str],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.secret = secret
        self.clock = clock
        self.book = Quarantine(clock, metrics)
        self.ends = ServerEnds(refuses, listing, clock)
        self.ends.on_ended = self.book.interrupted
        self.exchange = SuspicionExchange(link_manager, self.book, clock)

    def case(self, request: str, texts: Sequence[str], body: bytes) -> Case:
        """Return an attempt at a request as the quarantine sees it.

        Args:
            request: The id of the attempt.
            texts: The team that sends it and what it asks for, without the body.
            body: The body.
        """
        mark = fingerprint(self.secret(), texts, body)
        return Case(mark, request, self.book, self.ends, self.clock)
