# crashdetector.py -- Distinguishes crashed servers from broken connections
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Distinguishes crashed servers from broken connections."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Sequence

import gevent
from eliot import log_message
from gevent.event import Event

from mountladder.clocks.clock import Clock
from mountladder.configuration.backendserver import BackendServer
from mountladder.quarantine.fingerprint import abbreviated
from mountladder.quarantine.interruption import Interruption
from mountladder.quarantine.serverlisting import ServerListing

# How long a request that lost a connection waits for the result of a probe. A refusal takes a round
# trip, some milliseconds at most; if nothing answers, the list of servers shows the crash later.
PROBE_MS = 25.0
# How long after a broken connection the list of servers may show the crash: an entry lapses after
# three heartbeats of 1.2 s, plus some delay; a restarted server is listed again sooner.
LISTING_DELAY_MS = 5_000.0
# All connections to a crashed server break within this time; a restart takes seconds.
BREAK_WINDOW_MS = 500.0
# Max. number of crashed servers that are remembered.
MAX_CRASHED = 256
# Max. number of interrupted requests whose details are logged; those that the server had not begun
# to answer come first.
MAX_LOGGED = 16
# What shows a crash, in the log.
REFUSAL = "it refuses connections"


class CrashDetector:
    """Finds out whether a server has crashed when a connection to it breaks.

    An answer may be lost, or a connection reset, while the server still runs. A crashed server
    refuses connections, or the list of servers shows another incarnation at its address or drops
    its entry. The exit of a server that was draining is planned and makes no request suspect.

    Args:
        refuses: Returns whether connections to a server's address are refused.
        listing: Shows planned shutdowns and restarts of servers.
        clock: The clock.

    Attributes:
        on_crashed: Called with the name of the crashed incarnation of a server, the service it ran,
            and the requests that it had in flight.
        on_unresolved: Called like on_crashed if it is not known yet whether the server has crashed.
        unresolved: Servers with broken connections that may have crashed, and the interrupted
            requests, by the server's name.
        probes: The probes in flight, by the server's name.
        crashed: The time and the incarnation's name of recent crashes, by the server's name.
    """

    def __init__(
        self, refuses: Callable[[BackendServer], bool], listing: ServerListing, clock: Clock
    ) -> None:
        self.refuses = refuses
        self.listing = listing
        self.clock = clock
        self.on_crashed: Callable[[str, str, Sequence[Interruption]], None]
        self.on_crashed = lambda server, service, interrupted: None
        self.on_unresolved: Callable[[str, str, Sequence[Interruption]], None]
        self.on_unresolved = lambda server, service, interrupted: None
        self.unresolved: dict[str, tuple[BackendServer, list[Interruption]]] = {}
        self.probes: dict[str, Event] = {}
        self.crashed: OrderedDict[str, tuple[float, str]] = OrderedDict()

    def investigate(self, server: BackendServer, interrupted: Sequence[Interruption]) -> None:
        """Find out whether a server whose connections broke has crashed.

        Returns once that is known, or after a short time limit.

        Args:
            server: The server.
            interrupted: The requests that were in flight on these connections.
        """
        if self.listing.is_shutting_down(server):
            return
        crashed_at, incarnation = self.crashed.get(server.name, (float("-inf"), ""))
        if self.clock.now() - crashed_at <= BREAK_WINDOW_MS:
            self.report(server, incarnation, interrupted)
            return
        earlier = self.unresolved_requests(server, LISTING_DELAY_MS)
        self.unresolved[server.name] = (server, [*earlier, *interrupted])
        probe_done = self.probes.get(server.name)
        if probe_done is None:
            probe_done = self.probes[server.name] = Event()
            gevent.spawn(self.probe, server, probe_done)
        self.clock.wait(probe_done, PROBE_MS)
        if server.name in self.unresolved:
            incarnation = self.listing.incarnation_name(server, self.clock.now())
            self.on_unresolved(incarnation, self.listing.service(server), interrupted)

    def probe(self, server: BackendServer, probe_done: Event) -> None:
        """Probe whether a server refuses connections."""
        try:
            if self.refuses(server):
                self.record_crash(server, REFUSAL, BREAK_WINDOW_MS)
        finally:
            del self.probes[server.name]
            probe_done.set()

    def has_ended(self, server: BackendServer, interrupted: Interruption) -> bool:
        """Return whether a server refuses connections; if so, record that it has crashed.

        Args:
            server: The server.
            interrupted: A request whose answer ended with its connection shortly before.
        """
        if self.listing.is_shutting_down(server) or not self.refuses(server):
            return False
        earlier = self.unresolved_requests(server, LISTING_DELAY_MS)
        self.unresolved[server.name] = (server, [*earlier, interrupted])
        self.record_crash(server, REFUSAL, 2 * BREAK_WINDOW_MS)
        return True

    def check_listing(self) -> None:
        """Check whether the list of servers shows that a server in question has crashed."""
        for name, (server, _) in list(self.unresolved.items()):
            if not self.unresolved_requests(server, LISTING_DELAY_MS):
                del self.unresolved[name]
            elif self.listing.is_unlisted(server):
                reason = "the list of servers shows another incarnation, or none"
                self.record_crash(server, reason, LISTING_DELAY_MS)

    def unresolved_requests(self, server: BackendServer, within_ms: float) -> list[Interruption]:
        """Return the requests that a server recently lost, if it is not known to have crashed."""
        _, interrupted = self.unresolved.get(server.name, (server, []))
        since = self.clock.now() - within_ms
        return [one for one in interrupted if one.at >= since]

    def record_crash(self, server: BackendServer, reason: str, within_ms: float) -> None:
        """Record that a server has crashed, with the requests that it had in flight.

        Args:
            server: The server.
            reason: What shows the crash, for the log.
            within_ms: How long ago it can have crashed at most.
        """
        interrupted = self.unresolved_requests(server, within_ms)
        self.unresolved.pop(server.name, None)
        now = self.clock.now()
        incarnation = self.listing.incarnation_name(server, now)
        self.crashed[server.name] = (now, incarnation)
        self.crashed.move_to_end(server.name)
        if len(self.crashed) > MAX_CRASHED:
            self.crashed.popitem(last=False)
        log_message(
            "server-crashed",
            server=incarnation,
            address=server.address,
            reason=reason,
            requests=sorted({one.request for one in interrupted}),
            fingerprints=sorted({one.fingerprint for one in interrupted}),
            details=[_detail(one) for one in sorted(interrupted, key=_log_order)[:MAX_LOGGED]],
        )
        self.report(server, incarnation, interrupted)

    def report(
        self, server: BackendServer, incarnation: str, interrupted: Sequence[Interruption]
    ) -> None:
        """Report which requests an incarnation of a server had in flight when it crashed."""
        self.on_crashed(incarnation, self.listing.service(server), interrupted)


def _log_order(one: Interruption) -> tuple[bool, float]:
    return one.begun_ms > 0.0, one.ran_ms


def _detail(one: Interruption) -> dict[str, object]:
    return {
        "request": one.request,
        "ran_ms": round(one.ran_ms),
        "begun_ms": round(one.begun_ms),
        "parts": [abbreviated(part) for part in one.parts],
    }
