# eventsequence.py -- The complete events of a stream, whose ids rise
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The complete events of a stream, whose ids rise."""

from __future__ import annotations

from mountladder.forwarding.eventsplitter import EVENT_END, EventSplitter

# The longest id that is read as a number, and the number of characters of an id that are logged.
MAX_DIGITS = 40


class EventSequence(EventSplitter):
    """Splits a stream, and refuses events whose ids do not rise.

    A server that ignores the last id, or sends events again, would repeat what was passed on.

    Args:
        last_id: The id of the last event that was received before.

    Attributes:
        last_id: The id of the last complete event that has one, or an empty string.
        number: The greatest id that is a decimal number, or -1. Other ids have no order.
        is_named: Whether that id, a number, stands for all events so far, so that another server
            can go on behind them.
        events: The number of complete events so far.
    """

    ends = (EVENT_END, b"\n\r\n")

    def __init__(self, last_id: str = "") -> None:
        super().__init__()
        self.last_id = last_id
        self.number = _read_number(last_id)
        self.is_named = True
        self.events = 0

    def accept(self, complete: bytes) -> None:
        """Count complete events and store the last id; see EventSplitter.

        Raises:
            ValueError: An id does not follow the one before; nothing is stored.
        """
        last_id, number, events = self.last_id, self.number, 0
        is_named = self.is_named
        for event in complete.replace(b"\r\n", b"\n").split(EVENT_END)[:-1]:
            events += 1
            id_ = _read_id(event)
            if not id_:
                # Comments, and fields beside the data, may come twice.
                is_named = is_named and not _has_data(event)
                continue
            value = _read_number(id_)
            if id_ == last_id or 0 <= value <= number:
                raise ValueError(f"event {id_[:MAX_DIGITS]} comes after event {last_id}")
            last_id, number, is_named = id_, max(number, value), value >= 0
        self.last_id, self.number, self.is_named = last_id, number, is_named
        self.events += events


def _read_id(event: bytes) -> str:
    """Return the id of an event, or an empty string."""
    for line in reversed(event.split(b"\n")):
        if line.startswith(b"id:"):
            return line[3:].strip().decode("latin-1")
    return ""


def _has_data(event: bytes) -> bool:
    """Return whether an event has data, which its caller gets."""
    return any(line.startswith(b"data") for line in event.split(b"\n"))


def _read_number(id_: str) -> int:
    """Return the number that an id is, or -1."""
    return int(id_) if id_.isdecimal() and len(id_) <= MAX_DIGITS else -1
