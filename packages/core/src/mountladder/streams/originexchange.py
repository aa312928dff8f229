# originexchange.py -- Tells and asks other instances which software version began a stream
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Tells and asks other instances which software version began a stream."""

from __future__ import annotations

import itertools
from collections.abc import Callable, Collection, Iterator, Sequence
from contextlib import contextmanager

from mountladder.clocks.clock import Clock
from mountladder.forwarding.messageparts import chunked
from mountladder.membership.link import Link
from mountladder.streams.originannouncement import OriginAnnouncement
from mountladder.streams.originholders import OriginHolders
from mountladder.streams.originquery import OriginQuery
from mountladder.streams.originquestion import OriginQuestion
from mountladder.streams.originregistry import OriginRegistry
from mountladder.streams.originreply import OriginReply
from mountladder.streams.streamorigin import StreamOrigin
from mountladder.streams.versionhistory import VersionHistory


class OriginExchange:
    """Tells and asks other instances which software version began a stream.

    Args:
        holders: Chooses the instances.
        registry: The origins that this instance knows.
        history: The versions that have lately served each service.
        clock: The clock.

    Attributes:
        questions: The outstanding questions, by the number of their queries.
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
        self.questions: dict[int, OriginQuestion] = {}
        self.on_told: Callable[[Sequence[StreamOrigin]], None] = lambda origins: None
        self.fleet.subscribe(OriginAnnouncement, self.receive)
        self.fleet.subscribe(OriginQuery, self.answer)
        self.fleet.subscribe(OriginReply, self.handle_reply)

    def announce(self, service: str, origins: Sequence[StreamOrigin]) -> int:
        """Tell other instances some origins of a service's streams; return how many are told."""
        links = self.holders.told_links(service)
        self.tell(origins, links)
        return len(links)

    def tell(self, origins: Sequence[StreamOrigin], links: Collection[Link]) -> None:
        """Tell some origins over some links."""
        now = self.clock.now()
        for part in chunked([one.as_remaining(now) for one in origins]):
            for link in links:
                self.fleet.send_later(link, OriginAnnouncement(part))

    @contextmanager
    def ask(self, stream: bytes, service: str) -> Iterator[OriginQuestion]:
        """Ask the holders of a service's streams which version began a stream.

        Returns:
            The question, which takes replies within the context.
        """
        links, number = self.holders.links(service), next(self.numbers)
        question = self.questions[number] = OriginQuestion(len(links), self.clock)
        try:
            for link in links:
                self.fleet.send_later(link, OriginQuery(number, stream, service))
            yield question
        finally:
            del self.questions[number]

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
        question = self.questions.get(reply.number)
        if question is not None:
            question.receive(reply, link.peer.peer)
