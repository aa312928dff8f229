# noticeboard.py -- Takes in what answers say of their backend servers
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Takes in what answers say of their backend servers."""

from __future__ import annotations

from collections.abc import Sequence
from functools import singledispatchmethod

from eliot import log_message

from mountladder.clocks.clock import Clock
from mountladder.configuration.backendserver import BackendServer
from mountladder.forwarding.directory import Directory
from mountladder.membership.linkmanager import LinkManager
from mountladder.metrics.metrics import Metrics
from mountladder.notices.leaving import Leaving
from mountladder.notices.notice import Notice
from mountladder.notices.noticebook import NoticeBook
from mountladder.notices.noticeexchange import NoticeExchange
from mountladder.notices.ratelimit import RateLimit
from mountladder.notices.rest import Rest
from mountladder.routing.router import Router


class NoticeBoard:
    """Takes in what answers say of their servers, and hands each notice to who acts on it.

    Args:
        link_manager: Keeps the links to the other instances.
        directory: Which servers there are, and which of them are used.
        router: Leaves servers alone that ask this instance for rest.
        clock: The clock.
        metrics: Where the numbers of servers go.

    Attributes:
        book: What servers say to any instance.
    """

    def __init__(
        self,
        link_manager: LinkManager,
        directory: Directory,
        router: Router,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.router = router
        self.book = NoticeBook(clock, metrics)
        self.book.listed = directory.names
        self.book.on_leaving = directory.rebuild
        directory.leaving_since = self.book.leaving_since
        self.exchange = NoticeExchange(link_manager, self.book, clock)

    def hear(self, server: BackendServer, notices: Sequence[Notice], sent_at: float) -> None:
        """Take in what an answer says.

        Args:
            server: The server that answered.
            notices: What it says of itself.
            sent_at: When the request was sent that is answered.
        """
        for notice in notices:
            self.take(notice, server, sent_at)

    @singledispatchmethod
    def take(self, notice: object, server: BackendServer, sent_at: float) -> None:
        """Take in one notice.

        Raises:
            TypeError: It is none.
        """
        raise TypeError(f"no notice: {notice!r}")

    @take.register
    def _(self, notice: RateLimit | Leaving, server: BackendServer, sent_at: float) -> None:
        self.book.hear(server, notice, sent_at)

    @take.register
    def _(self, notice: Rest, server: BackendServer, sent_at: float) -> None:
        self.router.rest(server, notice.for_ms)
        log_message("server-rests", server=server.name, for_ms=round(notice.for_ms))
