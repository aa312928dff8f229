# suspicionexchange.py -- Exchanges suspicions with the other instances
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Exchanges suspicions with the other instances."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

from mountladder.clocks.clock import Clock
from mountladder.membership.gossip import Gossip
from mountladder.membership.link import Link
from mountladder.membership.linkmanager import LinkManager
from mountladder.quarantine.partsuspicions import PartSuspicions
from mountladder.quarantine.suspicion import Suspicion
from mountladder.quarantine.suspicionregistry import SuspicionRegistry
from mountladder.quarantine.suspicions import Suspicions


class SuspicionExchange(Gossip[Suspicion]):
    """Keeps the suspicions of all instances in sync, for suspects of one kind.

    Args:
        link_manager: Keeps the links to the other instances.
        quarantine: The quarantine of this instance.
        clock: The clock.
        message: The type of the messages for suspects of that kind.

    Attributes:
        on_received: Called with all received suspicions, those with presumed crashes included.
    """

    def __init__(
        self,
        link_manager: LinkManager,
        quarantine: SuspicionRegistry,
        clock: Clock,
        message: type[Suspicions | PartSuspicions],
    ) -> None:
        super().__init__(link_manager, clock, message)
        self.quarantine = quarantine
        quarantine.on_update = self.broadcast
        self.on_received: Callable[[Sequence[Suspicion]], None] = lambda received: None

    def known(self) -> Iterable[Suspicion]:
        """Return all suspicions; see Gossip."""
        return self.quarantine.suspicions.values()

    def send(self, link: Link, entries: Sequence[Suspicion]) -> None:
        """Send suspicions to a peer that understands them; see Gossip."""
        if self.message is not PartSuspicions or link.peer.knows_prompt_parts:
            super().send(link, entries)

    def as_ages(self, entry: Suspicion, now: float) -> Suspicion:
        """Return a suspicion with times relative to now, as it is sent; see Gossip."""
        return entry.shifted(-now)

    def merge(self, entries: Sequence[Suspicion], now: float, source: str) -> None:
        """Merge received suspicions into the quarantine; see Gossip."""
        received = [suspicion.shifted(now) for suspicion in entries]
        self.on_received(received)
        self.quarantine.merge([one for one in received if not one.presumed], source)
