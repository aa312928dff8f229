# eventsplitter.py -- Splits the bytes of an event stream into complete events
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Splits the bytes of an event stream into complete events."""

from __future__ import annotations

MAX_EVENT_BYTES = 1 << 20
# Each further piece costs a step of the parser, however small it is.
MAX_EVENT_PIECES = 4_096
_EVENT_END = b"\n\n"


class EventSplitter:
    """Splits the bytes of an event stream behind its last complete event.

    Args:
        last_id: The id of the last event that was received before.
        max_bytes: The longest event.

    Attributes:
        last_id: The id of the last complete event, or an empty string.
        incomplete: The bytes of the event that is still incomplete.
        searched: How many of them were searched for the end of an event.
        pieces: In how many pieces they came.
        events: The number of complete events so far.
    """

    def __init__(self, last_id: str = "", max_bytes: int = MAX_EVENT_BYTES) -> None:
        self.last_id = last_id
        self.max_bytes = max_bytes
        self.incomplete = bytearray()
        self.searched = 0
        self.pieces = 0
        self.events = 0

    def feed(self, data: bytes) -> bytes:
        """Add bytes and return the events that they complete.

        Raises:
            ValueError: An event is too long, or comes in too many pieces.
        """
        self.incomplete += data
        end = self.incomplete.rfind(_EVENT_END, self.searched)
        if end < 0:
            self.pieces += 1
            if len(self.incomplete) > self.max_bytes:
                raise ValueError(f"an event is longer than {self.max_bytes} bytes")
            if self.pieces > MAX_EVENT_PIECES:
                raise ValueError(f"an event comes in more than {MAX_EVENT_PIECES} pieces")
            # The end of an event may be split between this data and the next.
            self.searched = max(0, len(self.incomplete) - len(_EVENT_END) + 1)
            return b""
        complete = bytes(self.incomplete[: end + len(_EVENT_END)])
        del self.incomplete[: end + len(_EVENT_END)]
        self.searched = self.pieces = 0
        self.read_ids(complete)
        return complete

    def discard_incomplete(self) -> None:
        """Discard the bytes of an incomplete event, which another server sends again."""
        self.incomplete.clear()
        self.searched = self.pieces = 0

    def read_ids(self, complete: bytes) -> None:
        """Count complete events and store the last event id."""
        self.events += complete.count(_EVENT_END)
        for line in reversed(complete.split(b"\n")):
            if line.startswith(b"id:"):
                self.last_id = line[3:].strip().decode("latin-1")
                return
