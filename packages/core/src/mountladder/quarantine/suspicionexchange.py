# suspicionexchange.py -- Telling the other instances of requests under which servers ended
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Telling the other instances of requests under which servers ended."""

from __future__ import annotations

from collections.abc import Sequence

from mountladder.clocks.clock import Clock
from mountladder.forwarding.messageparts import parts_of
from mountladder.membership.link import Link
from mountladder.membership.linkkeeper import LinkKeeper
from mountladder.quarantine.quarantine import Quarantine
from mountladder.quarantine.suspicion import Suspicion
from mountladder.quarantine.suspicions import Suspicions


class SuspicionExchange:
    """Keeps the books of all instances alike, over the links that there are.

    What is news here is passed on at once, so that it also reaches those without a link to whoever
    saw it. Whoever connects is told all.

    Args:
        keeper: Keeps the links to the other instances.
        quarantine: This instance's book.
        clock: The clock.
    """

    def __init__(self, keeper: LinkKeeper, quarantine: Quarantine, clock: Clock) -> None:
        self.keeper = keeper
        self.quarantine = quarantine
        self.clock = clock
        quarantine.on_news = self.tell
        keeper.subscribe(Suspicions, self.take)
        keeper.greeters.append(self.greet)

    def tell(self, news: Sequence[Suspicion], source: str) -> None:
        """Tell others what has become known.

        Args:
            news: What it is.
            source: The name of the peer that told it, or an empty string where it was seen here.
        """
        for link in self.keeper.links_for_news(source):
            self.send(link, news)

    def greet(self, link: Link) -> None:
        """Tell a peer that has just connected all that is known here."""
        self.send(link, list(self.quarantine.known.values()))

    def send(self, link: Link, entries: Sequence[Suspicion]) -> None:
        """Send entries, in messages of bounded size."""
        now = self.clock.now()
        for part in parts_of([one.shifted(-now) for one in entries]):
            self.keeper.send_later(link, Suspicions(part))

    def take(self, message: Suspicions, link: Link) -> None:
        """Take in what a peer tells."""
        now = self.clock.now()
        self.quarantine.take([one.shifted(now) for one in message.entries], link.peer.name)
