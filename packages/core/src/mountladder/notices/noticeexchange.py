# noticeexchange.py -- Exchanges notices of backend servers between instances
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Exchanges notices of backend servers between instances."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from mountladder.clocks.clock import Clock
from mountladder.membership.gossip import Gossip
from mountladder.membership.linkmanager import LinkManager
from mountladder.notices.noticeregistry import NoticeRegistry
from mountladder.notices.servernotice import ServerNotice
from mountladder.notices.servernotices import ServerNotices


class NoticeExchange(Gossip[ServerNotice]):
    """Keeps the notices in force the same at all instances.

    Args:
        link_manager: Maintains the links to the other instances.
        registry: The notices in force at this instance.
        clock: The clock.
    """

    def __init__(self, link_manager: LinkManager, registry: NoticeRegistry, clock: Clock) -> None:
        super().__init__(link_manager, clock, ServerNotices)
        self.registry = registry
        registry.on_announce = self.broadcast

    def known(self) -> Iterable[ServerNotice]:
        """Return all notices in force; see Gossip."""
        return self.registry.all()

    def as_ages(self, entry: ServerNotice, now: float) -> ServerNotice:
        """Return a notice in the form in which it is sent; see Gossip."""
        return entry.as_ages(now)

    def merge(self, entries: Sequence[ServerNotice], now: float, source: str) -> None:
        """Merge notices from a peer; see Gossip."""
        self.registry.merge([one.from_ages(now) for one in entries], source)
