# noticeregistry.py -- Shared notices of backend servers in force
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Shared notices of backend servers in force."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence

from eliot import log_message

from mountladder.clocks.clock import Clock
from mountladder.configuration.backendserver import BackendServer
from mountladder.metrics.metric import Metric
from mountladder.metrics.metrics import Metrics
from mountladder.notices.leaving import Leaving
from mountladder.notices.notice import Shared
from mountladder.notices.noticelog import log_line
from mountladder.notices.precedence import differs_significantly, is_default, replaces, retention_ms
from mountladder.notices.ratelimit import UNLIMITED, RateLimit
from mountladder.notices.rejectionlimit import RejectionLimit
from mountladder.notices.servernotice import ServerNotice

# A notice that answers repeat is announced again after this time, so that instances that ordered
# two answers differently converge.
REANNOUNCE_MS = 5_000.0
# The maximum number of servers per kind of notice, about half of the 2,100 servers planned for.
# Listed servers that are leaving are kept beyond that.
MAX_SERVERS = 1_024


class NoticeRegistry:
    """Holds the latest shared notice of each kind and server, from answers to any instance.

    A notice in an answer is announced to all instances at once, and an instance for which it is a
    change forwards it. Forwarding terminates: each hop adds to the uncertainty about which of two
    notices is newer, and where that is uncertain all instances keep the same one of the two.

    Args:
        clock: The clock.
        metrics: Reports the numbers of limited and leaving servers.

    Attributes:
        limits: The rate limit notice of each server that announced one, by the server's name.
        rejection_limits: The rejection limit notice of each server that announced one, likewise.
        leaving: The notices of leaving servers, by the server's name.
        listed: Returns the names of the servers in the platform's table.
        on_leaving: Called after a server has newly been found to be leaving.
        on_announce: Called with notices to announce to other instances, and with the name of the
            peer that sent them, or an empty string.
    """

    def __init__(self, clock: Clock, metrics: Metrics) -> None:
        self.clock = clock
        self.metrics = metrics
        self.limits: dict[str, ServerNotice] = {}
        self.leaving: dict[str, ServerNotice] = {}
        self.rejection_limits: dict[str, ServerNotice] = {}
        self.by_kind = {
            RateLimit: self.limits,
            RejectionLimit: self.rejection_limits,
            Leaving: self.leaving,
        }
        self.announced_at: dict[str, float] = {}
        self.listed: Callable[[], frozenset[str]] = frozenset
        self.on_leaving: Callable[[], None] = lambda: None
        self.on_announce: Callable[[Sequence[ServerNotice], str], None] = (
            lambda notices, source: None
        )

    def per_s(self, server: str) -> float:
        """Return a server's rate limit over all instances, in requests a second, or UNLIMITED."""
        known = self.limits.get(server)
        return known.notice.per_s if known is not None else UNLIMITED

    def max_rejections_per_s(self, server: str) -> float:
        """Return how many requests a server can reject in a second, or UNLIMITED."""
        known = self.rejection_limits.get(server)
        return known.notice.per_s if known is not None else UNLIMITED

    def leaving_since(self, server: str) -> float | None:
        """Return when a server was first seen to be leaving, or None if it is not."""
        known = self.leaving.get(server)
        return known.seen_at if known is not None else None

    def all(self) -> list[ServerNotice]:
        """Return all notices in force."""
        return [one for kind in self.by_kind.values() for one in kind.values()]

    def in_force(self, received: ServerNotice) -> ServerNotice | None:
        """Return the notice in force of the same kind and server, or None."""
        return self.by_kind[type(received.notice)].get(received.server)

    def record(self, server: BackendServer, notice: Shared, sent_at: float) -> None:
        """Apply a notice in an answer of a server, and announce it where others need it.

        Args:
            server: The server.
            notice: The notice.
            sent_at: When the answered request was sent, in the clock's milliseconds.
        """
        now = self.clock.now()
        received = ServerNotice(server.name, notice, sent_at, now)
        known = self.in_force(received)
        if not self.is_accepted(received):
            return
        self.put_in_force(received, "answer")
        is_due = now - self.announced_at.get(server.name, now) >= REANNOUNCE_MS
        if known is None or differs_significantly(notice, known.notice) or is_due:
            self.announced_at[server.name] = now
            self.on_announce([received], "")

    def merge(self, notices: Sequence[ServerNotice], source: str) -> None:
        """Merge the notices of a peer, given its name, and forward those that are changes."""
        accepted = [one for one in notices if self.is_accepted(one)]
        changes = [one for one in accepted if self.is_significant(one)]
        for one in accepted:
            self.put_in_force(one, f"peer {source}")
        if changes:
            self.on_announce(changes, source)

    def is_accepted(self, received: ServerNotice) -> bool:
        """Return whether a notice replaces the one in force."""
        known = self.in_force(received)
        if known is None:
            return not is_default(received.notice)
        return replaces(received.notice, received, known)

    def is_significant(self, received: ServerNotice) -> bool:
        """Return whether a notice differs enough from the one in force to be announced."""
        known = self.in_force(received)
        return known is None or differs_significantly(received.notice, known.notice)

    def put_in_force(self, received: ServerNotice, source: str) -> None:
        """Put a notice in force, and log a change."""
        known = self.in_force(received)
        self.by_kind[type(received.notice)][received.server] = received
        if known is not None and known.notice == received.notice:
            return
        self.evict(self.by_kind[type(received.notice)])
        before = known.notice if known is not None else None
        event, fields = log_line(received.notice, before)
        sent_ms_ago = round(self.clock.now() - received.sent_at)
        log_message(event, server=received.server, **fields, sent_ms_ago=sent_ms_ago, source=source)
        self.report_counts()
        if isinstance(received.notice, Leaving):
            self.on_leaving()

    def report_counts(self) -> None:
        """Report the numbers of limited and leaving servers."""
        limited = sum(not is_default(one.notice) for one in self.limits.values())
        self.metrics.gauge(Metric.LIMITED_SERVERS, limited)
        fragile = sum(not is_default(one.notice) for one in self.rejection_limits.values())
        self.metrics.gauge(Metric.FRAGILE_SERVERS, fragile)
        self.metrics.gauge(Metric.LEAVING_SERVERS, len(self.leaving))

    def evict(self, kind: dict[str, ServerNotice]) -> None:
        """Drop notices past their retention time, or else the oldest of too many."""
        now, listed = self.clock.now(), self.listed()
        expires_at = {
            name: one.seen_at + retention_ms(one.notice, name in listed)
            for name, one in kind.items()
        }
        ordered = sorted(
            (name for name in kind if expires_at[name] < math.inf), key=expires_at.__getitem__
        )
        expired = [name for name in ordered if expires_at[name] <= now]
        for name in expired or ordered[: max(0, len(kind) - MAX_SERVERS)]:
            del kind[name]
        known = {one.server for one in self.all()}
        self.announced_at = {name: at for name, at in self.announced_at.items() if name in known}
