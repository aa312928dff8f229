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
        ends: What may end an event.
        incomplete: The bytes of the event that is still incomplete.
        searched: How many of them were searched for the end of an event.
        pieces: In how many pieces they came.
    """

    ends: tuple[bytes, ...] = (EVENT_END,)

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
        end = max(self.find_end(one) for one in self.ends)
        if not end:
            self.pieces += 1
            if len(self.incomplete) > self.max_bytes:
                raise ValueError(f"an event is longer than {self.max_bytes} bytes")
            if self.pieces > MAX_EVENT_PIECES:
                raise ValueError(f"an event comes in more than {MAX_EVENT_PIECES} pieces")
            # The end of an event may be split between this data and the next.
            begun = 2 if self.incomplete.endswith(b"\n\r") else 1
            self.searched = max(0, len(self.incomplete) - begun)
            return b""
        complete = bytes(self.incomplete[:end])
        del self.incomplete[:end]
        self.searched = self.pieces = 0
        self.accept(complete)
        return complete

    def find_end(self, text: bytes) -> int:
        """Return how many bytes precede the last end of an event of one kind, with it, or 0."""
        start = self.incomplete.rfind(text, self.searched)
        return start + len(text) if start >= 0 else 0

    def discard_incomplete(self) -> None:
        """Discard the bytes of an incomplete event, which another server sends again."""
        self.incomplete.clear()
        self.searched = self.pieces = 0

    def accept(self, complete: bytes) -> None:
        """Check complete events before they are returned.

        Raises:
            ValueError: They are malformed.
        """
