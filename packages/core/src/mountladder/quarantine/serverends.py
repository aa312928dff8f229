# serverends.py -- Telling servers that have ended from connections that broke
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Telling servers that have ended from connections that broke."""

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

# How long whoever lost a connection waits to learn whether the server has ended. A refusal comes in
# a round trip, some milliseconds at most; where nobody answers the list of servers will tell.
ASK_MS = 25.0
# For how long the list of servers may show that one had ended when a connection to it broke: three
# heartbeats of 1.2 s until an entry lapses, and some delay; started again it is back sooner.
LISTED_MS = 5_000.0
# Connections to a server that has ended all break within this time; it is back after seconds.
SETTLED_MS = 500.0
# How many servers that have ended are remembered.
ENDS_KEPT = 256


class ServerEnds:
    """Finds out whether a server has ended when a connection to it breaks.

    An answer may be lost, or a connection reset, while the server lives. One that has ended refuses
    connections, or the list of servers shows another start at its address or drops its entry. A
    server that was draining ends by plan, which nobody is to blame for.

    Args:
        refuses: Tells whether nobody listens at a server's address.
        listing: What the list of servers tells of ends.
        clock: The clock.

    Attributes:
        on_ended: Called with the name of a server's start that has ended, what it served, and the
            requests that it had then.
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
        """Find out why connections broke; return once that is known, or is not known soon.

        Args:
            server: The server.
            interrupted: The requests that it had over them.
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
        """Look whether a server refuses connections."""
        try:
            if self.refuses(server):
                self.settle(server, "it refuses connections", SETTLED_MS)
        finally:
            del self.asked[server.name]
            asked.set()

    def look(self) -> None:
        """Look whether the list of servers tells what became of those that are in doubt."""
        for name, (server, _) in list(self.open.items()):
            if not self.in_doubt(server, LISTED_MS):
                del self.open[name]
            elif self.listing.is_unlisted(server):
                reason = "the list of servers has another start, or none"
                self.settle(server, reason, LISTED_MS)

    def in_doubt(self, server: BackendServer, within_ms: float) -> list[Interruption]:
        """Return the requests that lost a server lately, where it is not known whether it ended."""
        _, interrupted = self.open.get(server.name, (server, []))
        since = self.clock.now() - within_ms
        return [one for one in interrupted if one.at >= since]

    def settle(self, server: BackendServer, reason: str, within_ms: float) -> None:
        """Record that a server has ended, with the requests that it had then.

        Args:
            server: The server.
            reason: What shows that it has.
            within_ms: How long ago it can have ended at most.
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
            "server-ended",
            server=start,
            address=server.address,
            reason=reason,
            requests=sorted({one.request for one in interrupted}),
            fingerprints=sorted({one.fingerprint for one in interrupted}),
        )
        self.tell(server, start, interrupted)

    def tell(self, server: BackendServer, start: str, interrupted: Sequence[Interruption]) -> None:
        """Tell what a start of a server had under way when it ended."""
        self.on_ended(start, self.listing.service(server), interrupted)
