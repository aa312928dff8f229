# eventsplitter.py -- Splits the bytes of an event stream into complete events
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Splits the bytes of an event stream into complete events."""

from __future__ import annotations

MAX_EVENT_BYTES = 1 << 20
# Each further piece costs a step of the parser, however small it is.
MAX_EVENT_PIECES = 4_096
EVENT_END = b"\n\n"


class EventSplitter:
    """Splits the bytes of an event stream behind its last complete event.

    Args:
        max_bytes: The longest event.

    Attributes:
        incomplete: The bytes of the event that is still incomplete.
        searched: How many of them were searched for the end of an event.
        pieces: In how many pieces they came.
    """

    def __init__(self, max_bytes: int = MAX_EVENT_BYTES) -> None:
        self.max_bytes = max_bytes
        self.incomplete = bytearray()
        self.searched = 0
        self.pieces = 0

    def feed(self, data: bytes) -> bytes:
        """Add bytes and return the events that they complete.

        Raises:
            ValueError: An event is too long, comes in too many pieces or is not accepted.
        """
        self.incomplete += data
        end = self.incomplete.rfind(EVENT_END, self.searched)
        if end < 0:
            self.pieces += 1
            if len(self.incomplete) > self.max_bytes:
                raise ValueError(f"an event is longer than {self.max_bytes} bytes")
            if self.pieces > MAX_EVENT_PIECES:
                raise ValueError(f"an event comes in more than {MAX_EVENT_PIECES} pieces")
            # The end of an event may be split between this data and the next.
            self.searched = max(0, len(self.incomplete) - len(EVENT_END) + 1)
            return b""
        complete = bytes(self.incomplete[: end + len(EVENT_END)])
        del self.incomplete[: end + len(EVENT_END)]
        self.searched = self.pieces = 0
        self.accept(complete)
        return complete

    def discard_incomplete(self) -> None:
        """Discard the bytes of an incomplete event, which another server sends again."""
        self.incomplete.clear()
        self.searched = self.pieces = 0

    def accept(self, complete: bytes) -> None:
        """Check complete events before they are returned.

        Raises:
            ValueError: They are malformed.
        """
