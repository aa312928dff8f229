# quarantineservice.py -- Wiring of the parts of an instance's quarantine
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Wiring of the parts of an instance's quarantine."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Sequence
from contextlib import contextmanager

from mountladder.clocks.clock import Clock
from mountladder.configuration.backendserver import BackendServer
from mountladder.membership.linkmanager import LinkManager
from mountladder.metrics.metrics import Metrics
from mountladder.quarantine.crashdetector import CrashDetector
from mountladder.quarantine.fingerprint import fingerprint, part_fingerprint
from mountladder.quarantine.interruption import Interruption
from mountladder.quarantine.partquarantine import PartQuarantine
from mountladder.quarantine.partsuspicions import PartSuspicions
from mountladder.quarantine.quarantine import Quarantine
from mountladder.quarantine.serverlisting import ServerListing
from mountladder.quarantine.suspicionexchange import SuspicionExchange
from mountladder.quarantine.suspicions import Suspicions
from mountladder.quarantine.trackedattempt import TrackedAttempt


class QuarantineService:
    """The quarantine of one instance, with its crash detection and its exchange with peers.

    Args:
        refuses: Returns whether connections to a server's address are refused.
        listing: Shows planned shutdowns and restarts of servers.
        link_manager: Keeps the links to the other instances.
        secret: Returns the key that all instances share, for fingerprints.
        clock: The clock.
        metrics: Receives the metrics.

    Attributes:
        registry: The requests that are suspect or barred.
        parts: The prompt parts that are suspect or barred.
        exchange: Keeps the first ones in sync with other instances.
        part_exchange: Keeps the second ones in sync.
        waiting: Attempts that have not been sent yet, and what ends them once they are barred.
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
        self.registry = Quarantine(clock, metrics)
        self.parts = PartQuarantine(clock, metrics, self.registry)
        self.detector = CrashDetector(refuses, listing, clock)
        self.detector.on_crashed = self.handle_crash
        self.exchange = SuspicionExchange(link_manager, self.registry, clock, Suspicions)
        self.part_exchange = SuspicionExchange(link_manager, self.parts, clock, PartSuspicions)
        self.waiting: set[tuple[TrackedAttempt, Callable[[], None]]] = set()
        self.registry.on_bars_applied = self.parts.on_bars_applied = self.end_barred

    def track(
        self, request: str, texts: Sequence[str], body: bytes, parts: Iterable[str] = ()
    ) -> TrackedAttempt:
        """Return an attempt at a request that is tracked by the quarantine.

        Args:
            request: The id of the attempt.
            texts: The sending team and what the request asks for, without the body.
            body: The body of the request.
            parts: The ids of the parts of its prompt that other requests may share.
        """
        secret = self.secret()
        digest = fingerprint(secret, texts, body)
        shared = tuple(part_fingerprint(secret, one) for one in dict.fromkeys(parts))
        return TrackedAttempt(digest, request, self, shared)

    def handle_crash(self, server: str, service: str, lost: Sequence[Interruption]) -> None:
        """Handle the crash of a server that had requests of this instance in flight."""
        # Requests first: one that is barred explains crashes under the parts of its prompt.
        self.registry.handle_crash(server, service, lost)
        if any(one.parts for one in lost):
            self.parts.handle_crash(server, service, lost)

    @contextmanager
    def ended_if_barred(self, attempt: TrackedAttempt, end: Callable[[], None]) -> Iterator[None]:
        """Call a function in this block as soon as an attempt is barred."""
        entry = (attempt, end)
        self.waiting.add(entry)
        try:
            yield
        finally:
            self.waiting.discard(entry)

    def end_barred(self) -> None:
        """End the waiting attempts that are barred by now."""
        for attempt, end in list(self.waiting):
            if attempt.is_barred():
                end()
