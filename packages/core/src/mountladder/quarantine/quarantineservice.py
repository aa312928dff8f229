# quarantineservice.py -- Wiring of the parts of an instance's quarantine
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Wiring of the parts of an instance's quarantine."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from mountladder.clocks.clock import Clock
from mountladder.configuration.backendserver import BackendServer
from mountladder.membership.linkkeeper import LinkKeeper
from mountladder.metrics.metrics import Metrics
from mountladder.quarantine.case import Case
from mountladder.quarantine.fingerprint import fingerprint
from mountladder.quarantine.quarantine import Quarantine
from mountladder.quarantine.serverends import ServerEnds
from mountladder.quarantine.serverlisting import ServerListing
from mountladder.quarantine.suspicionexchange import SuspicionExchange


class QuarantineService:
    """The quarantine of one instance, with its crash detection and its exchange with peers.

    Args:
        refuses: Returns whether connections to a server's address are refused.
        listing: Shows planned shutdowns and restarts of servers.
        keeper: Keeps the links to the other instances.
        secret: Returns the key that all instances share, for fingerprints.
        clock: The clock.
        metrics: Receives the metrics.
    """

    def __init__(
        self,
        refuses: Callable[[BackendServer], bool],
        listing: ServerListing,
        keeper: LinkKeeper,
        secret: Callable[[], str],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.secret = secret
        self.clock = clock
        self.book = Quarantine(clock, metrics)
        self.ends = ServerEnds(refuses, listing, clock)
        self.ends.on_ended = self.book.interrupted
        self.exchange = SuspicionExchange(keeper, self.book, clock)

    def case(self, request: str, texts: Sequence[str], body: bytes) -> Case:
        """Return an attempt at a request that is tracked by the quarantine.

        Args:
            request: The id of the attempt.
            texts: The sending team and what the request asks for, without the body.
            body: The body of the request.
        """
        mark = fingerprint(self.secret(), texts, body)
        return Case(mark, request, self.book, self.ends, self.clock)
