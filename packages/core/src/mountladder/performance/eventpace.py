# eventpace.py -- Measures the time between the events of a stream
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Measures the time between the events of a stream."""

from __future__ import annotations

# Shorter streams say less about the server than about the steps that it was in.
MIN_EVENTS = 8
# The time is not used if the caller kept the stream waiting for more than this fraction of it.
MAX_HELD_FRACTION = 0.1


class EventPace:
    """Measures the mean time between the events of a stream from one server.

    Args:
        started: When the first events arrived, in the clock's milliseconds.
        events: The number of events by then.
    """

    __slots__ = ("events", "first_events", "held_ms", "last_at", "started")

    def __init__(self, started: float, events: int) -> None:
        self.started = self.last_at = started
        self.first_events = self.events = events
        self.held_ms = 0.0

    def arrived(self, now: float, events: int) -> None:
        """Record that events arrived, given the number of all events so far."""
        self.last_at = now
        self.events = events

    def passed_on(self, now: float) -> None:
        """Record that the caller has taken the events that arrived last."""
        self.held_ms += now - self.last_at

    def mean_ms(self) -> float:
        """Return the mean time between events in milliseconds, or 0 if it is unknown."""
        number, elapsed_ms = self.events - self.first_events, self.last_at - self.started
        if number < MIN_EVENTS or self.held_ms > MAX_HELD_FRACTION * elapsed_ms:
            return 0.0
        return elapsed_ms / number
