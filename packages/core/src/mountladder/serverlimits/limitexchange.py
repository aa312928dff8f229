# limitexchange.py -- Telling the other instances what servers said of their limits
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Telling the other instances what servers said of their limits."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from mountladder.clocks.clock import Clock
from mountladder.membership.linkkeeper import LinkKeeper
from mountladder.membership.newsexchange import NewsExchange
from mountladder.serverlimits.limitbook import LimitBook
from mountladder.serverlimits.limitword import LimitWord
from mountladder.serverlimits.limitwords import LimitWords


class LimitExchange(NewsExchange[LimitWord]):
    """Keeps the books of limits of all instances alike.

    Args:
        keeper: Keeps the links to the other instances.
        book: This instance's book.
        clock: The clock.
    """

    def __init__(self, keeper: LinkKeeper, book: LimitBook, clock: Clock) -> None:
        super().__init__(keeper, clock, LimitWords)
        self.book = book
        book.on_news = self.tell

    def known(self) -> Iterable[LimitWord]:
        """Return all words in force; see NewsExchange."""
        return self.book.words.values()

    def as_ages(self, entry: LimitWord, now: float) -> LimitWord:
        """Return a word as it is told; see NewsExchange."""
        return entry.as_ages(now)

    def take_in(self, entries: Sequence[LimitWord], now: float, source: str) -> None:
        """Take in words; see NewsExchange."""
        self.book.take([one.told(now) for one in entries], source)
