# originquestion.py -- A question to other instances which software version began a stream
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A question to other instances which software version began a stream."""

from __future__ import annotations

from gevent.event import Event

from mountladder.clocks.clock import Clock
from mountladder.configuration.softwareversion import UNVERIFIED_VERSION
from mountladder.streams.originreply import OriginReply
from mountladder.streams.streamorigin import StreamOrigin


class OriginQuestion:
    """A question to other instances which software version began a stream.

    Replies are taken until the question is closed, also after a wait for them has expired.

    Args:
        asked: The number of instances that are asked.
        clock: The clock.
        is_check: Whether the origin is known, and the question is whether it is verified.

    Attributes:
        replies: The replies, by the peer address of the instance.
        settled: Set once an instance has told the origin, or that it is not verified if that is the
            question, or all have replied.
    """

    def __init__(self, asked: int, clock: Clock, is_check: bool = False) -> None:
        self.asked = asked
        self.clock = clock
        self.is_check = is_check
        self.asked_at = clock.now()
        self.replies: dict[str, OriginReply] = {}
        self.settled = Event()
        if not asked:
            self.settled.set()

    def receive(self, reply: OriginReply, address: str) -> None:
        """Store the reply of an instance, and wake the waiting request once it needs no others."""
        self.replies[address] = reply
        is_told = reply.origin is not None and not self.is_check
        if is_told or self.is_unverified() or len(self.replies) == self.asked:
            self.settled.set()

    def is_unverified(self) -> bool:
        """Return whether an instance has told that the origin is not verified."""
        told = (one.origin for one in self.replies.values() if one.origin is not None)
        return any(one.version == UNVERIFIED_VERSION for one in told)

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
