# eventsplitter.py -- Whole events out of the bytes of a stream
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Whole events out of the bytes of a stream."""

from __future__ import annotations

MOST_EVENT_BYTES = 1 << 20
_END = b"\n\n"


class EventSplitter:
    """Cuts the bytes of an event stream behind its last whole event.

    Attributes:
        last_id: The id of the last whole event, or an empty string.
        rest: The bytes of the event that is not whole yet.
        events: How many whole events there were.
    """

    def __init__(self, last_id: str = "") -> None:
        self.last_id = last_id
        self.rest = b""
        self.events = 0

    def feed(self, data: bytes) -> bytes:
        """Take in bytes and return the events that are whole now.

        Raises:
            ValueError: An event is longer than any event may be.
        """
        data = self.rest + data
        end = data.rfind(_END)
        if end < 0:
            if len(data) > MOST_EVENT_BYTES:
                raise ValueError("an event is too long")
            self.rest = data
            return b""
        whole, self.rest = data[: end + len(_END)], data[end + len(_END) :]
        self.read_ids(whole)
        return whole

    def read_ids(self, whole: bytes) -> None:
        """Remember the id of the last event."""
        self.events += whole.count(_END)
        for line in reversed(whole.split(b"\n")):
            if line.startswith(b"id:"):
                self.last_id = line[3:].strip().decode("latin-1")
                return
