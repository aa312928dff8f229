# noticebook.py -- What backend servers say of themselves to any instance
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""What backend servers say of themselves to any instance."""

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

# Whoever hears the same again tells it again after this time, so that instances that judged the
# order of two answers in different ways come to the same.
TELL_AGAIN_MS = 5_000.0
# How many servers are remembered for each kind, about half of all there are to be (2,100); listed
# servers that leave are remembered beyond that.
MOST_SERVERS = 1_024


class NoticeBook:
    """What servers say of themselves in their answers to any instance, and what holds of it.

    What an answer says goes to all instances at once, and whoever learns by it passes it on. That
    comes to an end: on each further way a notice is less surely newer than another one, and where
    neither surely is the same one of the two stays everywhere.

    Args:
        clock: The clock.
        metrics: Where the numbers of servers go.

    Attributes:
        limits: The rate limit of each server that ever named one, by its name.
        leaving: The notices of servers that leave, by their names.
        listed: Returns the names of the servers in the platform's list.
        on_leaving: Called once it has become known of some server that it leaves.
        on_news: Called with notices that others should know, and with who told them, or an empty
            string.
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
        """Return how many requests a second a server takes from all instances, or UNLIMITED."""
        known = self.limits.get(server)
        return known.notice.per_s if known is not None else UNLIMITED

    def leaving_since(self, server: str) -> float | None:
        """Return when a server first said that it leaves, as far as is known here, or None."""
        known = self.leaving.get(server)
        return known.seen_at if known is not None else None

    def all(self) -> list[ServerNotice]:
        """Return all notices that hold."""
        return [one for kind in self.kinds.values() for one in kind.values()]

    def known(self, told: ServerNotice) -> ServerNotice | None:
        """Return what is known of the kind of a notice, of its server."""
        return self.kinds[type(told.notice)].get(told.server)

    def hear(self, server: BackendServer, notice: Shared, sent_at: float) -> None:
        """Take in what an answer of a server says.

        Args:
            server: The server.
            notice: What it says.
            sent_at: When the request was sent that is answered.
        """
        now = self.clock.now()
        told = ServerNotice(server.name, notice, sent_at, now)
        known = self.known(told)
        if not self.is_news(told):
            return
        self.put(told, "an answer")
        is_due = now - self.told_at.get(server.name, now) >= TELL_AGAIN_MS
        if known is None or differs(notice, known.notice) or is_due:
            self.told_at[server.name] = now
            self.on_news([told], "")

    def take(self, notices: Sequence[ServerNotice], source: str) -> None:
        """Take in what a peer tells, and pass on what is news; source is the peer's name."""
        news = [one for one in notices if self.is_news(one)]
        changes = [one for one in news if self.is_change(one)]
        for one in news:
            self.put(one, f"peer {source}")
        if changes:
            self.on_news(changes, source)

    def is_news(self, told: ServerNotice) -> bool:
        """Tell whether a notice that was told is to hold."""
        known = self.known(told)
        if known is None:
            return not is_usual(told.notice)
        return replaces(told.notice, told, known)

    def is_change(self, told: ServerNotice) -> bool:
        """Tell whether a notice says so much else than what is known that others should know."""
        known = self.known(told)
        return known is None or differs(told.notice, known.notice)

    def put(self, told: ServerNotice, source: str) -> None:
        """Let a notice hold, and log what has changed for its server."""
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
        """Tell how many servers limit what they take, and how many leave."""
        limited = sum(not is_usual(one.notice) for one in self.limits.values())
        self.metrics.gauge(Metric.LIMITED_SERVERS, limited)
        self.metrics.gauge(Metric.LEAVING_SERVERS, len(self.leaving))

    def forget_old(self, kind: dict[str, ServerNotice]) -> None:
        """Forget servers of which nothing was heard for long, and the oldest of too many."""
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
