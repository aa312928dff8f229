# originquestion.py -- A question to other instances which software version began a stream
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A question to other instances which software version began a stream."""

from __future__ import annotations

from gevent.event import Event

from mountladder.clocks.clock import Clock
from mountladder.streams.originreply import OriginReply
from mountladder.streams.streamorigin import StreamOrigin


class OriginQuestion:
    """A question to other instances which software version began a stream.

    Replies are taken until the question is closed, also after a wait for them has expired.

    Args:
        asked: The number of instances that are asked.
        clock: The clock.

    Attributes:
        replies: The replies, by the peer address of the instance.
        settled: Set once an instance has told the origin, or all have replied.
    """

    def __init__(self, asked: int, clock: Clock) -> None:
        self.asked = asked
        self.clock = clock
        self.asked_at = clock.now()
        self.replies: dict[str, OriginReply] = {}
        self.settled = Event()
        if not asked:
            self.settled.set()

    def receive(self, reply: OriginReply, address: str) -> None:
        """Store the reply of an instance, and wake the waiting request once it needs no others."""
        self.replies[address] = reply
        if reply.origin is not None or len(self.replies) == self.asked:
            self.settled.set()

    def wait_until(self, after_ms: float) -> None:
        """Wait until the question is settled, or it was asked so many milliseconds ago."""
        remaining_ms = self.asked_at + after_ms - self.clock.now()
        if remaining_ms > 0.0 and not self.settled.is_set():
            self.clock.wait(self.settled, remaining_ms)

    def origin(self) -> StreamOrigin | None:
        """Return the origin that an instance has told, or None."""
        told = (one.origin for one in self.replies.values() if one.origin is not None)
        found = next(told, None)
        return found.from_remaining(self.clock.now()) if found is not None else None
