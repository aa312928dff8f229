# suspicionexchange.py -- Telling the other instances of requests under which servers ended
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Telling the other instances of requests under which servers ended."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from mountladder.clocks.clock import Clock
from mountladder.membership.gossip import Gossip
from mountladder.membership.linkmanager import LinkManager
from mountladder.quarantine.quarantine import Quarantine
from mountladder.quarantine.suspicion import Suspicion
from mountladder.quarantine.suspicions import Suspicions


class SuspicionExchange(Gossip[Suspicion]):
    """Keeps the books of suspects of all instances alike.

    Args:
        link_manager: Keeps the links to the other instances.
        quarantine: This instance's book.
        clock: The clock.
    """

    def __init__(self, link_manager: LinkManager, quarantine: Quarantine, clock: Clock) -> None:
        super().__init__(link_manager, clock, Suspicions)
        self.quarantine = quarantine
        quarantine.on_news = self.broadcast

    def known(self) -> Iterable[Suspicion]:
        """Return all suspects; see Gossip."""
        return self.quarantine.known.values()

    def as_ages(self, entry: Suspicion, now: float) -> Suspicion:
        """Return a suspicion as it is told; see Gossip."""
        return entry.shifted(-now)

    def merge(self, entries: Sequence[Suspicion], now: float, source: str) -> None:
        """Take in suspicions; see Gossip."""
        self.quarantine.take([one.shifted(now) for one in entries], source)
