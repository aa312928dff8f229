# memorylink.py -- One end of an in-process link, for tests and demos
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""One end of an in-process link, for tests and demos."""

from __future__ import annotations

from collections.abc import Callable

from gevent.queue import Queue

from mountladder.clocks.clock import Clock
from mountladder.errors import PeerError
from mountladder.membership.instance import Instance
from mountladder.membership.link import Link
from mountladder.membership.wire import Message, decode, encode


class MemoryLink(Link):
    """One end of an in-process link; messages are encoded as on the network.

    Args:
        me: The instance at this end.
        reachable: Returns whether the two ends can reach each other at present.
        clock: The clock that delays messages.
        latency_ms: The latency of a message.
    """

    def __init__(
        self, me: Instance, reachable: Callable[[], bool], clock: Clock, latency_ms: float
    ) -> None:
        super().__init__()
        self.me = me
        self.reachable = reachable
        self.clock = clock
        self.latency_ms = latency_ms
        self.inbox: Queue = Queue()
        self.other: MemoryLink | None = None
        self.closed = False

    def handshake(self) -> Instance:
        """Return the instance at the other end; see Link."""
        self.peer = self.other.me
        return self.peer

    def send(self, message: Message) -> int:
        """Send a message; it is lost while the ends are partitioned."""
        if self.closed or self.other.closed:
            raise PeerError("the link is closed")
        data = encode(message)
        if self.reachable():
            self.clock.call_later(self.latency_ms, lambda: self.other.inbox.put(data))
        return len(data)

    def receive(self) -> Message:
        """Return the next message; see Link."""
        data = self.inbox.get()
        if data is None:
            raise PeerError("the peer closed the link")
        return decode(data)

    def close(self) -> None:
        """Close both ends."""
        if not self.closed:
            self.closed = True
            self.inbox.put(None)
            self.other.inbox.put(None)
