# newsexchange.py -- Keeping the books of all instances alike
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Keeping the books of all instances alike."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Iterable, Sequence
from typing import Any, Generic, TypeVar

from mountladder.clocks.clock import Clock
from mountladder.forwarding.messageparts import parts_of
from mountladder.membership.link import Link
from mountladder.membership.linkkeeper import LinkKeeper

Entry = TypeVar("Entry")


class NewsExchange(ABC, Generic[Entry]):
    """Keeps a book of all instances alike, over the links that there are.

    What is news here is passed on at once, so that it also reaches those without a link to whoever
    saw it. Whoever connects is told all.

    Args:
        keeper: Keeps the links to the other instances.
        clock: The clock.
        message: The type of the messages, made from a tuple of entries.
    """

    def __init__(self, keeper: LinkKeeper, clock: Clock, message: type[Any]) -> None:
        self.keeper = keeper
        self.clock = clock
        self.message = message
        keeper.subscribe(message, self.take)
        keeper.greeters.append(self.greet)

    @abstractmethod
    def known(self) -> Iterable[Entry]:
        """Return all that is known here."""

    @abstractmethod
    def as_ages(self, entry: Entry, now: float) -> Entry:
        """Return an entry with times before now, as it is told."""

    @abstractmethod
    def take_in(self, entries: Sequence[Entry], now: float, source: str) -> None:
        """Take in what a peer tells, with times before now."""

    def tell(self, news: Sequence[Entry], source: str) -> None:
        """Tell others what has become known.

        Args:
            news: What it is.
            source: The name of the peer that told it, or an empty string where it was seen here.
        """
        for link in self.keeper.links_for_news(source):
            self.send(link, news)

    def greet(self, link: Link) -> None:
        """Tell a peer that has just connected all that is known here."""
        self.send(link, list(self.known()))

    def send(self, link: Link, entries: Sequence[Entry]) -> None:
        """Send entries, in messages of bounded size."""
        now = self.clock.now()
        for part in parts_of([self.as_ages(one, now) for one in entries]):
            self.keeper.send_later(link, self.message(part))

    def take(self, message: Any, link: Link) -> None:
        """Take in what a peer tells."""
        self.take_in(message.entries, self.clock.now(), link.peer.name)
