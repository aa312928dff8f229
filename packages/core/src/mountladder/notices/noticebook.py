# noticebook.py -- Shared notices of backend servers in force
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
from mountladder.notices.description import described
from mountladder.notices.leaving import Leaving
from mountladder.notices.notice import Shared
from mountladder.notices.precedence import differs, is_usual, kept_ms, replaces
from mountladder.notices.ratelimit import UNLIMITED, RateLimit
from mountladder.notices.servernotice import ServerNotice

# A notice that answers repeat is announced again after this time, so that instances that ordered
# two answers differently converge.
TELL_AGAIN_MS = 5_000.0
# The maximum number of servers per kind of notice, about half of the 2,100 servers planned for.
# Listed servers that are leaving are kept beyond that.
MOST_SERVERS = 1_024


class NoticeBook:
    """Holds the latest shared notice of each kind and server, from answers to any instance.

    A notice in an answer is announced to all instances at once, and an instance for which it is a
    change forwards it. Forwarding ends: each hop adds to the uncertainty about which of two
    notices is newer, and where that is uncertain all instances keep the same one of the two.

    Args:
        clock: The clock.
        metrics: Reports the numbers of limited and leaving servers.

    Attributes:
        limits: The rate limit notice of each server that announced one, by the server's name.
        leaving: The notices of leaving servers, by the server's name.
        listed: Returns the names of the servers in the platform's table.
        on_leaving: Called after a server has newly been found to be leaving.
        on_news: Called with notices to announce to other instances, and with the name of the peer
            that sent them, or an empty string.
    """

    def __init__(self, clock: Clock, metrics: Metrics) -> None:
        self.clock = clock
        self.metrics = metrics
        self.limits: dict[str, ServerNotice] = {}
        self.leaving: dict[str, ServerNotice] = {}
        self.kinds = {RateLimit: self.limits, Leaving: self.leaving}
        self.told_at: dict[str, float] = {}
        self.listed: Callable[[], frozenset[str]] = frozenset
        self.on_leaving: Callable[[], None] = lambda: None
        self.on_news: Callable[[Sequence[ServerNotice], str], None] = lambda news, source: None

    def per_s(self, server: str) -> float:
        """Return a server's rate limit over all instances, in requests a second, or UNLIMITED."""
        known = self.limits.get(server)
        return known.notice.per_s if known is not None else UNLIMITED

    def leaving_since(self, server: str) -> float | None:
        """Return when a server was first seen to be leaving, or None if it is not."""
        known = self.leaving.get(server)
        return known.seen_at if known is not None else None

    def all(self) -> list[ServerNotice]:
        """Return all notices in force."""
        return [one for kind in self.kinds.values() for one in kind.values()]

    def known(self, told: ServerNotice) -> ServerNotice | None:
        """Return the notice in force of the same kind and server, or None."""
        return self.kinds[type(told.notice)].get(told.server)

    def hear(self, server: BackendServer, notice: Shared, sent_at: float) -> None:
        """Apply a notice in an answer of a server, and announce it where others need it.

        Args:
            server: The server.
            notice: The notice.
            sent_at: When the answered request was sent, in the clock's milliseconds.
        """
        now = self.clock.now()
        told = ServerNotice(server.name, notice, sent_at, now)
        known = self.known(told)
        if not self.is_news(told):
            return
        self.put(told, "answer")
        is_due = now - self.told_at.get(server.name, now) >= TELL_AGAIN_MS
        if known is None or differs(notice, known.notice) or is_due:
            self.told_at[server.name] = now
            self.on_news([told], "")

    def take(self, notices: Sequence[ServerNotice], source: str) -> None:
        """Merge the notices of a peer, given its name, and forward those that are changes."""
        news = [one for one in notices if self.is_news(one)]
        changes = [one for one in news if self.is_change(one)]
        for one in news:
            self.put(one, f"peer {source}")
        if changes:
            self.on_news(changes, source)

    def is_news(self, told: ServerNotice) -> bool:
        """Return whether a notice replaces the one in force."""
        known = self.known(told)
        if known is None:
            return not is_usual(told.notice)
        return replaces(told.notice, told, known)

    def is_change(self, told: ServerNotice) -> bool:
        """Return whether a notice differs enough from the one in force to be announced."""
        known = self.known(told)
        return known is None or differs(told.notice, known.notice)

    def put(self, told: ServerNotice, source: str) -> None:
        """Put a notice in force, and log a change."""
        known = self.known(told)
        self.kinds[type(told.notice)][told.server] = told
        if known is not None and known.notice == told.notice:
            return
        self.forget_old(self.kinds[type(told.notice)])
        before = known.notice if known is not None else None
        event, fields = described(told.notice, before)
        sent_ms_ago = round(self.clock.now() - told.sent_at)
        log_message(event, server=told.server, **fields, sent_ms_ago=sent_ms_ago, source=source)
        self.count()
        if isinstance(told.notice, Leaving):
            self.on_leaving()

    def count(self) -> None:
        """Report the numbers of limited and leaving servers."""
        limited = sum(not is_usual(one.notice) for one in self.limits.values())
        self.metrics.gauge(Metric.LIMITED_SERVERS, limited)
        self.metrics.gauge(Metric.LEAVING_SERVERS, len(self.leaving))

    def forget_old(self, kind: dict[str, ServerNotice]) -> None:
        """Drop notices past their retention time, or else the oldest of too many."""
        now, listed = self.clock.now(), self.listed()
        until = {
            name: one.seen_at + kept_ms(one.notice, name in listed) for name, one in kind.items()
        }
        ordered = sorted((name for name in kind if until[name] < math.inf), key=until.__getitem__)
        late = [name for name in ordered if until[name] <= now]
        for name in late or ordered[: max(0, len(kind) - MOST_SERVERS)]:
            del kind[name]
        known = {one.server for one in self.all()}
        self.told_at = {name: at for name, at in self.told_at.items() if name in known}
