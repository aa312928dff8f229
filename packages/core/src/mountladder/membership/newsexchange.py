# newsexchange.py -- Replicates a set of entries to all instances by gossip
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Replicates a set of entries to all instances by gossip."""

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
    """Replicates a set of entries to all instances, over the existing links.

    Entries that are new to an instance are forwarded at once, so that they also reach instances
    without a link to the one they come from. A peer that connects is sent all entries.

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
        """Return all entries that this instance has."""

    @abstractmethod
    def as_ages(self, entry: Entry, now: float) -> Entry:
        """Return an entry for sending, with its times as ages before now."""

    @abstractmethod
    def take_in(self, entries: Sequence[Entry], now: float, source: str) -> None:
        """Merge entries from a peer, whose times are ages before now."""

    def tell(self, news: Sequence[Entry], source: str) -> None:
        """Broadcast new entries, or forward those of a peer.

        Args:
            news: The entries.
            source: The name of the peer that sent them, or an empty string for those of this
                instance.
        """
        for link in self.keeper.links_for_news(source):
            self.send(link, news)

    def greet(self, link: Link) -> None:
        """Send all entries to a peer that has just connected."""
        self.send(link, list(self.known()))

    def send(self, link: Link, entries: Sequence[Entry]) -> None:
        """Send entries, in messages of bounded size."""
        now = self.clock.now()
        for part in parts_of([self.as_ages(one, now) for one in entries]):
            self.keeper.send_later(link, self.message(part))

    def take(self, message: Any, link: Link) -> None:
        """Handle a message with entries from a peer."""
        self.take_in(message.entries, self.clock.now(), link.peer.name)
