# originexchange.py -- Tells and asks other instances which software version began a stream
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Tells and asks other instances which software version began a stream."""

from __future__ import annotations

import itertools
from collections.abc import Callable, Collection, Iterator, Sequence
from contextlib import contextmanager

import gevent

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

# By then an instance has checked the streams that it began and told, or found that it cannot: 1.1 s
# after its reader of the store was last answered the list is not confirmed any more, 1.5 s later it
# counts as old, and all are checked within 0.5 s.
CHECKED_MS = 3_500.0


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
        told_at: When origins were told that their instance may not have checked yet, by stream.
        is_unchecked: Returns whether this instance has not checked a stream that began here.
        check_stream: Checks such a stream.
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
        self.told_at: dict[bytes, float] = {}
        self.is_unchecked: Callable[[bytes], bool] = lambda stream: False
        self.check_stream: Callable[[bytes], None] = lambda stream: None
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
    def ask(self, stream: bytes, service: str, is_check: bool = False) -> Iterator[OriginQuestion]:
        """Ask the holders of a service's streams which version began a stream.

        Args:
            stream: Identifies the stream; see stream_key.
            service: The service.
            is_check: Whether the origin is known, and the question is whether it is verified.

        Returns:
            The question, which takes replies within the context.
        """
        links, number = self.holders.links(service), next(self.numbers)
        question = self.questions[number] = OriginQuestion(len(links), self.clock, is_check)
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
        self.note_told(told, now)
        added = [self.registry.find(one.stream) or one for one in told if self.registry.add(one)]
        if self.holders.shares_group(link.peer):
            self.on_told(added)

    def note_told(self, origins: Sequence[StreamOrigin], now: float) -> None:
        """Note when origins are told, and forget those that have been checked by now."""
        while self.told_at and next(iter(self.told_at.values())) <= now - CHECKED_MS:
            del self.told_at[next(iter(self.told_at))]
        for one in origins:
            self.told_at.setdefault(one.stream, now)

    def unchecked_since(self, stream: bytes) -> float | None:
        """Return when an origin was told that its instance may not have checked yet, or None."""
        at = self.told_at.get(stream)
        return at if at is not None and self.clock.now() - at < CHECKED_MS else None

    def answer(self, query: OriginQuery, link: Link) -> None:
        """Answer the query of a peer, once a stream that began here has been checked."""
        if self.is_unchecked(query.stream):
            gevent.spawn(self.answer_checked, query, link)
        else:
            self.reply(query, link)

    def answer_checked(self, query: OriginQuery, link: Link) -> None:
        """Check a stream that began here, and answer the query of a peer."""
        self.check_stream(query.stream)
        self.reply(query, link)

    def reply(self, query: OriginQuery, link: Link) -> None:
        """Reply to the query of a peer."""
        origin = self.registry.find(query.stream)
        told = origin.as_remaining(self.clock.now()) if origin is not None else None
        versions, is_complete = self.history.recent(query.service), self.history.is_complete
        self.fleet.send_later(link, OriginReply(query.number, told, versions, is_complete))

    def handle_reply(self, reply: OriginReply, link: Link) -> None:
        """Pass a reply to the request that waits for it."""
        question = self.questions.get(reply.number)
        if question is not None:
            question.receive(reply, link.peer.peer)
