# serverends.py -- Distinguishes crashed servers from broken connections
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
from mountladder.quarantine.interruption import Interruption
from mountladder.quarantine.serverlisting import ServerListing

# How long a request that lost a connection waits for the result of a probe. A refusal takes a round
# trip, some milliseconds at most; if nothing answers, the list of servers shows the crash later.
ASK_MS = 25.0
# How long after a broken connection the list of servers may show the crash: an entry lapses after
# three heartbeats of 1.2 s, plus some delay; a restarted server is listed again sooner.
LISTED_MS = 5_000.0
# All connections to a crashed server break within this time; a restart takes seconds.
SETTLED_MS = 500.0
# Max. number of crashed servers that are remembered.
ENDS_KEPT = 256


class ServerEnds:
    """Finds out whether a server has crashed when a connection to it breaks.

    An answer may be lost, or a connection reset, while the server still runs. A crashed server
    refuses connections, or the list of servers shows another incarnation at its address or drops
    its entry. The exit of a server that was draining is planned and makes no request suspect.

    Args:
        refuses: Returns whether connections to a server's address are refused.
        listing: Shows planned shutdowns and restarts of servers.
        clock: The clock.

    Attributes:
        on_ended: Called with the name of the crashed incarnation of a server, the service it ran,
            and the requests that it had in flight.
        open: Servers with broken connections that may have crashed, with the interrupted requests,
            by the server's name.
        asked: The probes that are under way, by the server's name.
        ended: The time and the incarnation's name of recent crashes, by the server's name.
    """

    def __init__(
        self, refuses: Callable[[BackendServer], bool], listing: ServerListing, clock: Clock
    ) -> None:
        self.refuses = refuses
        self.listing = listing
        self.clock = clock
        self.on_ended: Callable[[str, str, Sequence[Interruption]], None]
        self.on_ended = lambda server, service, interrupted: None
        self.open: dict[str, tuple[BackendServer, list[Interruption]]] = {}
        self.asked: dict[str, Event] = {}
        self.ended: OrderedDict[str, tuple[float, str]] = OrderedDict()

    def broke(self, server: BackendServer, interrupted: Sequence[Interruption]) -> None:
        """Find out whether a server whose connections broke has crashed.

        Returns once that is known, or after a short time limit.

        Args:
            server: The server.
            interrupted: The requests that were in flight on these connections.
        """
        if self.listing.is_planned(server):
            return
        ended_at, start = self.ended.get(server.name, (float("-inf"), ""))
        if self.clock.now() - ended_at <= SETTLED_MS:
            self.tell(server, start, interrupted)
            return
        in_doubt = self.in_doubt(server, LISTED_MS)
        self.open[server.name] = (server, [*in_doubt, *interrupted])
        asked = self.asked.get(server.name)
        if asked is None:
            asked = self.asked[server.name] = Event()
            gevent.spawn(self.ask, server, asked)
        self.clock.wait(asked, ASK_MS)

    def ask(self, server: BackendServer, asked: Event) -> None:
        """Probe whether a server refuses connections."""
        try:
            if self.refuses(server):
                self.settle(server, "it refuses connections", SETTLED_MS)
        finally:
            del self.asked[server.name]
            asked.set()

    def look(self) -> None:
        """Check whether the list of servers shows that a server in question has crashed."""
        for name, (server, _) in list(self.open.items()):
            if not self.in_doubt(server, LISTED_MS):
                del self.open[name]
            elif self.listing.is_unlisted(server):
                reason = "the list of servers shows another incarnation, or none"
                self.settle(server, reason, LISTED_MS)

    def in_doubt(self, server: BackendServer, within_ms: float) -> list[Interruption]:
        """Return the requests that a server recently lost, if it is not known to have crashed."""
        _, interrupted = self.open.get(server.name, (server, []))
        since = self.clock.now() - within_ms
        return [one for one in interrupted if one.at >= since]

    def settle(self, server: BackendServer, reason: str, within_ms: float) -> None:
        """Record that a server has crashed, with the requests that it had in flight.

        Args:
            server: The server.
            reason: What shows the crash, for the log.
            within_ms: How long ago it can have crashed at most.
        """
        interrupted = self.in_doubt(server, within_ms)
        self.open.pop(server.name, None)
        now = self.clock.now()
        start = self.listing.start_name(server, now)
        self.ended[server.name] = (now, start)
        self.ended.move_to_end(server.name)
        if len(self.ended) > ENDS_KEPT:
            self.ended.popitem(last=False)
        log_message(
            "server-crashed",
            server=start,
            address=server.address,
            reason=reason,
            requests=sorted({one.request for one in interrupted}),
            fingerprints=sorted({one.fingerprint for one in interrupted}),
        )
        self.tell(server, start, interrupted)

    def tell(self, server: BackendServer, start: str, interrupted: Sequence[Interruption]) -> None:
        """Report which requests an incarnation of a server had in flight when it crashed."""
        self.on_ended(start, self.listing.service(server), interrupted)
