# noticeexchange.py -- Exchanges notices of backend servers between instances
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Exchanges notices of backend servers between instances."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from mountladder.clocks.clock import Clock
from mountladder.membership.linkkeeper import LinkKeeper
from mountladder.membership.newsexchange import NewsExchange
from mountladder.notices.noticeregistry import NoticeRegistry
from mountladder.notices.servernotice import ServerNotice
from mountladder.notices.servernotices import ServerNotices


class NoticeExchange(NewsExchange[ServerNotice]):
    """Keeps the notices in force the same at all instances.

    Args:
        keeper: Maintains the links to the other instances.
        registry: The notices in force at this instance.
        clock: The clock.
    """

    def __init__(self, keeper: LinkKeeper, registry: NoticeRegistry, clock: Clock) -> None:
        super().__init__(keeper, clock, ServerNotices)
        self.registry = registry
        registry.on_announce = self.tell

    def known(self) -> Iterable[ServerNotice]:
        """Return all notices in force; see NewsExchange."""
        return self.registry.all()

    def as_ages(self, entry: ServerNotice, now: float) -> ServerNotice:
        """Return a notice in the form in which it is sent; see NewsExchange."""
        return entry.as_ages(now)

    def take_in(self, entries: Sequence[ServerNotice], now: float, source: str) -> None:
        """Merge notices from a peer; see NewsExchange."""
        self.registry.merge([one.from_ages(now) for one in entries], source)
