# originexchange.py -- Tells and asks other instances which software version began a stream
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Tells and asks other instances which software version began a stream."""

from __future__ import annotations

import itertools
from collections.abc import Callable, Sequence

from gevent.event import Event

from mountladder.clocks.clock import Clock
from mountladder.forwarding.messageparts import chunked
from mountladder.membership.link import Link
from mountladder.streams.originannouncement import OriginAnnouncement
from mountladder.streams.originholders import OriginHolders
from mountladder.streams.originquery import OriginQuery
from mountladder.streams.originregistry import OriginRegistry
from mountladder.streams.originreply import OriginReply
from mountladder.streams.streamorigin import StreamOrigin
from mountladder.streams.versionhistory import VersionHistory

# Timeout for the replies, which usually take 1 to 2 ms.
REPLY_TIMEOUT_MS = 100.0


class OriginExchange:
    """Tells and asks other instances which software version began a stream.

    Args:
        holders: Chooses the instances.
        registry: The origins that this instance knows.
        history: The versions that have lately served each service.
        clock: The clock.

    Attributes:
        replies: Callbacks for outstanding queries, by number.
        on_told: Called with origins that instances of the same group tell; see OriginHolders.
    """

    def __init__(
        self,
        holders: OriginHolders,
        registry: OriginRegistry,
        history: VersionHistory,
        clock: Clock,
    ) -> None:
        self.holders = holders
        self.fleet = holders.fleet
        self.registry = registry
        self.history = history
        self.clock = clock
        self.numbers = itertools.count(1)
        self.replies: dict[int, Callable[[OriginReply, Link], None]] = {}
        self.on_told: Callable[[Sequence[StreamOrigin]], None] = lambda origins: None
        self.fleet.subscribe(OriginAnnouncement, self.receive)
        self.fleet.subscribe(OriginQuery, self.answer)
        self.fleet.subscribe(OriginReply, self.handle_reply)

    def announce(self, service: str, origins: Sequence[StreamOrigin]) -> int:
        """Tell other instances some origins of a service's streams; return how many are told."""
        now, links = self.clock.now(), self.holders.told_links(service)
        for part in chunked([one.as_remaining(now) for one in origins]):
            for link in links:
                self.fleet.send_later(link, OriginAnnouncement(part))
        return len(links)

    def ask(self, stream: bytes, service: str) -> tuple[dict[str, OriginReply], int]:
        """Ask the holders of a service's streams which version began a stream.

        Returns:
            The replies until one knew it, all had replied or the timeout expired, by the peer
            address of the instance; and the number of instances that were asked.
        """
        links = self.holders.links(service)
        number, is_done = next(self.numbers), Event()
        replies: dict[str, OriginReply] = {}

        def receive(reply: OriginReply, link: Link) -> None:
            """Store a reply, and wake the waiting request after the last one that it needs."""
            replies[link.peer.peer] = reply
            if reply.origin is not None or len(replies) == len(links):
                is_done.set()

        self.replies[number] = receive
        try:
            for link in links:
                self.fleet.send_later(link, OriginQuery(number, stream, service))
            if links:
                self.clock.wait(is_done, REPLY_TIMEOUT_MS)
        finally:
            del self.replies[number]
        return replies, len(links)

    def receive(self, message: OriginAnnouncement, link: Link) -> None:
        """Add the origins that a peer tells."""
        now = self.clock.now()
        told = [one.from_remaining(now) for one in message.origins]
        added = [one for one in told if self.registry.add(one)]
        if self.holders.shares_group(link.peer):
            self.on_told(added)

    def answer(self, query: OriginQuery, link: Link) -> None:
        """Answer the query of a peer."""
        origin = self.registry.find(query.stream)
        told = origin.as_remaining(self.clock.now()) if origin is not None else None
        versions, is_complete = self.history.recent(query.service), self.history.is_complete
        self.fleet.send_later(link, OriginReply(query.number, told, versions, is_complete))

    def handle_reply(self, reply: OriginReply, link: Link) -> None:
        """Pass a reply to the request that waits for it."""
        receive = self.replies.get(reply.number)
        if receive is not None:
            receive(reply, link)
