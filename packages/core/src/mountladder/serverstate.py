# serverstate.py -- What an instance knows of one backend server
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""What an instance knows of one backend server."""

from __future__ import annotations

import random

from mountladder.backendserver import BackendServer
from mountladder.breaker import Breaker

SLOWNESS_WEIGHT = 0.2
LEAVING_MS = 30_000.0


class ServerState:
    """Work in flight, reported load, slowness and breaker of one backend server.

    Attributes:
        running: The calls this instance has running there.
        reported: The load the server last reported, this instance's own calls included.
        sent_since: This instance's calls sent less those ended since that report.
        slowness: Its time over the time expected, smoothed; 1 where it is as expected.
        leaving_until: Until when it is taken to be leaving.
    """

    def __init__(self, server: BackendServer, rng: random.Random) -> None:
        self.server = server
        self.breaker = Breaker(rng)
        self.running = 0
        self.reported = 0
        self.sent_since = 0
        self.slowness = 1.0
        self.leaving_until = 0.0

    @property
    def load(self) -> int:
        """Return the calls it is believed to have: the report corrected by what was sent since."""
        return max(self.running, self.reported + self.sent_since)

    def usable(self, now: float) -> bool:
        """Tell whether new work may be sent to it."""
        return self.breaker.allows(now) and now >= self.leaving_until

    def begin(self) -> None:
        """Record that a call is sent."""
        self.running += 1
        self.sent_since += 1
        self.breaker.begin()

    def end(self) -> None:
        """Record that a call ended."""
        self.running -= 1
        self.sent_since -= 1

    def report(self, load: int) -> None:
        """Take in a load that the server reported."""
        self.reported = load
        self.sent_since = 0

    def timed(self, ratio: float) -> None:
        """Learn from the ratio of a call's time to the time expected."""
        self.slowness += SLOWNESS_WEIGHT * (min(20.0, max(0.1, ratio)) - self.slowness)

    def leave(self, now: float) -> None:
        """Record that the server said it is leaving."""
        self.leaving_until = now + LEAVING_MS
