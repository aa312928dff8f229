# limitexchange.py -- Telling the other instances what servers said of their limits
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Telling the other instances what servers said of their limits."""

from __future__ import annotations

from collections.abc import Sequence

from mountladder.clocks.clock import Clock
from mountladder.forwarding.messageparts import parts_of
from mountladder.membership.link import Link
from mountladder.membership.linkkeeper import LinkKeeper
from mountladder.serverlimits.limitbook import LimitBook
from mountladder.serverlimits.limitword import LimitWord
from mountladder.serverlimits.limitwords import LimitWords


class LimitExchange:
    """Keeps the books of all instances alike, over the links that there are.

    Args:
        keeper: Keeps the links to the other instances.
        book: This instance's book.
        clock: The clock.
    """

    def __init__(self, keeper: LinkKeeper, book: LimitBook, clock: Clock) -> None:
        self.keeper = keeper
        self.book = book
        self.clock = clock
        book.on_news = self.tell
        keeper.subscribe(LimitWords, self.take)
        keeper.greeters.append(self.greet)

    def tell(self, news: Sequence[LimitWord], source: str) -> None:
        """Tell others what has become known; source is the peer that told it, or empty."""
        for link in self.keeper.links_for_news(source):
            self.send(link, news)

    def greet(self, link: Link) -> None:
        """Tell a peer that has just connected all that is known here."""
        self.send(link, list(self.book.words.values()))

    def send(self, link: Link, words: Sequence[LimitWord]) -> None:
        """Send words, in messages of bounded size."""
        now = self.clock.now()
        for part in parts_of([one.as_ages(now) for one in words]):
            self.keeper.send_later(link, LimitWords(part))

    def take(self, message: LimitWords, link: Link) -> None:
        """Take in what a peer tells."""
        now = self.clock.now()
        self.book.take([one.told(now) for one in message.words], link.peer.name)
