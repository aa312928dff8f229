# eventsplitter.py -- Splits the bytes of an event stream into complete events
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Splits the bytes of an event stream into complete events."""

from __future__ import annotations

MAX_EVENT_BYTES = 1 << 20
_EVENT_END = b"\n\n"


class EventSplitter:
    """Splits the bytes of an event stream behind its last complete event.

    Attributes:
        last_id: The id of the last complete event, or an empty string.
        incomplete: The bytes of the event that is still incomplete.
        events: The number of complete events so far.
    """

    def __init__(self, last_id: str = "") -> None:
        self.last_id = last_id
        self.incomplete = b""
        self.events = 0

    def feed(self, data: bytes) -> bytes:
        """Add bytes and return the events that they complete.

        Raises:
            ValueError: An event is longer than the maximum size.
        """
        data = self.incomplete + data
        end = data.rfind(_EVENT_END)
        if end < 0:
            if len(data) > MAX_EVENT_BYTES:
                raise ValueError(f"an event is longer than {MAX_EVENT_BYTES} bytes")
            self.incomplete = data
            return b""
        complete, self.incomplete = data[: end + len(_EVENT_END)], data[end + len(_EVENT_END) :]
        self.read_ids(complete)
        return complete

    def read_ids(self, complete: bytes) -> None:
        """Count complete events and store the last event id."""
        self.events += complete.count(_EVENT_END)
        for line in reversed(complete.split(b"\n")):
            if line.startswith(b"id:"):
                self.last_id = line[3:].strip().decode("latin-1")
                return
