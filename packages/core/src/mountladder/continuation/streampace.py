# streampace.py -- How many events the streams of a route have, and how far apart
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""How many events the streams of a route have, and how far apart."""

from __future__ import annotations

# Until streams of a route have ended here, an event is expected for each token that the request
# allows, and a token every two steps of an engine, which take 3 to 6 ms each.
INITIAL_EVENTS_PER_TOKEN = 1.0
INITIAL_EVENT_MS = 9.0
# Each stream changes the means by at least this fraction, so that a changed route is noticed within
# about twenty streams.
MIN_STEP = 0.1


class StreamPace:
    """The mean number and distance of the events of a route's streams, as observed here.

    Attributes:
        events_per_token: The events for each token of the longest answer that a request allows.
        event_ms: The time between two events, in milliseconds.
        samples: The number of streams observed.
    """

    def __init__(self) -> None:
        self.events_per_token = INITIAL_EVENTS_PER_TOKEN
        self.event_ms = INITIAL_EVENT_MS
        self.samples = 0

    def learn(self, max_output: int, events: int, elapsed_ms: float) -> None:
        """Learn from a stream that ended normally.

        Args:
            max_output: The maximum number of tokens that it could have.
            events: The number of its events.
            elapsed_ms: The time between its first and its last event, in milliseconds.
        """
        if max_output < 1 or events < 2:
            return
        self.samples += 1
        step = max(MIN_STEP, 1.0 / self.samples)
        self.events_per_token += step * (events / max_output - self.events_per_token)
        self.event_ms += step * (elapsed_ms / (events - 1) - self.event_ms)

    def expected_ms(self, max_output: int) -> float:
        """Return how long a stream is expected to run after its first event, in milliseconds."""
        return max_output * self.events_per_token * self.event_ms
