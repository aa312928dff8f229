# noticeexchange.py -- Telling the other instances what backend servers said
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Telling the other instances what backend servers said."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from mountladder.clocks.clock import Clock
from mountladder.membership.gossip import Gossip
from mountladder.membership.linkmanager import LinkManager
from mountladder.notices.noticebook import NoticeBook
from mountladder.notices.servernotice import ServerNotice
from mountladder.notices.servernotices import ServerNotices


class NoticeExchange(Gossip[ServerNotice]):
    """Keeps the books of what servers said of all instances alike.

    Args:
        link_manager: Keeps the links to the other instances.
        book: This instance's book.
        clock: The clock.
    """

    def __init__(self, link_manager: LinkManager, book: NoticeBook, clock: Clock) -> None:
        super().__init__(link_manager, clock, ServerNotices)
        self.book = book
        book.on_news = self.broadcast

    def known(self) -> Iterable[ServerNotice]:
        """Return all notices in force; see Gossip."""
        return self.book.all()

    def as_ages(self, entry: ServerNotice, now: float) -> ServerNotice:
        """Return a notice as it is told; see Gossip."""
        return entry.as_ages(now)

    def merge(self, entries: Sequence[ServerNotice], now: float, source: str) -> None:
        """Take in notices; see Gossip."""
        self.book.take([one.told(now) for one in entries], source)
