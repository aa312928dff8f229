# memoryaccount.py -- Counts the bytes that an instance holds for others
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Counts the bytes that an instance holds for others."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from eliot import log_message

from mountladder.clocks.clock import Clock
from mountladder.memory.heldshare import HeldShare
from mountladder.memory.holder import Holder
from mountladder.metrics.metric import Metric
from mountladder.metrics.metrics import Metrics

# How long a caller may leave data waiting without taking a byte, in milliseconds. Servers end a
# response that stays unread for some seconds; how many is not known. After this time a stream of
# theirs is likely lost, and the bytes only take memory from callers that read.
SLOW_READER_MS = 5_000.0

# With the limit off, the time after which a caller that does not read is cut, in milliseconds. A
# caller that never reads must not keep its connection for ever.
UNBOUNDED_READER_MS = 30_000.0
# How many bytes of a server's response the system holds at most while they are not read. They are
# counted for a stream that is not read on, since they come in all the same.
SERVER_UNREAD_BYTES = 65_536


class MemoryAccount:
    """The bytes held for callers, servers and peers, by holder.

    Args:
        clock: The clock.
        metrics: Receives metrics.

    Attributes:
        held: The number of bytes held.
        released: The number of bytes released so far.
        holders: Everyone for whom bytes may be held.
        notify_above: The number of held bytes above which on_above is called.
        on_above: Called while bytes are added above notify_above; it must not block.
        slow_reader_ms: How long a caller may leave data waiting without taking any.
    """

    def __init__(self, clock: Clock, metrics: Metrics) -> None:
        self.clock = clock
        self.metrics = metrics
        self.held = 0
        self.released = 0
        self.holders: set[Holder] = set()
        self.notify_above = math.inf
        self.on_above: Callable[[], None] = lambda: None
        self.slow_reader_ms = SLOW_READER_MS

    @contextmanager
    def hold(self, kind: str, end: Callable[[str], None]) -> Iterator[Holder]:
        """Return a holder whose bytes are released at the end of the block; see Holder."""
        holder = self.open(kind, end)
        try:
            yield holder
        finally:
            self.close(holder)

    def open(self, kind: str, end: Callable[[str], None]) -> Holder:
        """Return a new holder, which must be closed; see Holder."""
        holder = Holder(self, kind, end)
        self.holders.add(holder)
        return holder

    def close(self, holder: Holder) -> None:
        """Release the bytes of a holder and forget it."""
        holder.release()
        self.holders.discard(holder)

    def add(self, number: int) -> None:
        """Count bytes of a holder; a negative number was released."""
        self.held += number
        if number < 0:
            self.released -= number
        elif self.held > self.notify_above:
            self.on_above()

    def shares(self) -> list[HeldShare]:
        """Return what each holder of bytes holds, apart from those that were cut."""
        now = self.clock.now()
        return [
            HeldShare(one, one.bytes, one.stalled_ms(now))
            for one in self.holders
            if one.bytes and not one.is_cut
        ]

    def has_waiting(self) -> bool:
        """Return whether data waits for a caller."""
        return any(one.waiting_since is not None for one in self.holders)

    def held_by_cut(self) -> int:
        """Return the bytes of holders that were cut, which will be released soon."""
        return sum(one.bytes for one in self.holders if one.is_cut)

    def cut_slow_reader(self, holder: Holder, waited_ms: float) -> None:
        """End the connection of a caller that leaves data waiting."""
        self.metrics.count(Metric.CUT_SLOW_READERS)
        self.cut(holder, "slow reader", waited_ms=round(waited_ms))

    def cut(self, holder: Holder, reason: str, **inputs: object) -> None:
        """End the connection of a holder and log the reason."""
        holder.is_cut = True
        log_message(
            "memory-cut",
            request=holder.request,
            kind=holder.kind,
            reason=reason,
            bytes=holder.bytes,
            held=self.held,
            **inputs,
        )
        holder.end(reason)
