# suspicionexchange.py -- Telling the other instances of requests under which servers ended
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Telling the other instances of requests under which servers ended."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from mountladder.clocks.clock import Clock
from mountladder.membership.linkkeeper import LinkKeeper
from mountladder.membership.newsexchange import NewsExchange
from mountladder.quarantine.quarantine import Quarantine
from mountladder.quarantine.suspicion import Suspicion
from mountladder.quarantine.suspicions import Suspicions


class SuspicionExchange(NewsExchange[Suspicion]):
    """Keeps the books of suspects of all instances alike.

    Args:
        keeper: Keeps the links to the other instances.
        quarantine: This instance's book.
        clock: The clock.
    """

    def __init__(self, keeper: LinkKeeper, quarantine: Quarantine, clock: Clock) -> None:
        super().__init__(keeper, clock, Suspicions)
        self.quarantine = quarantine
        quarantine.on_news = self.tell

    def known(self) -> Iterable[Suspicion]:
        """Return all suspects; see NewsExchange."""
        return self.quarantine.known.values()

    def as_ages(self, entry: Suspicion, now: float) -> Suspicion:
        """Return a suspicion as it is told; see NewsExchange."""
        return entry.shifted(-now)

    def take_in(self, entries: Sequence[Suspicion], now: float, source: str) -> None:
        """Take in suspicions; see NewsExchange."""
        self.quarantine.take([one.shifted(now) for one in entries], source)
