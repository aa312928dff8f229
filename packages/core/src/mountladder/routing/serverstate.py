# serverstate.py -- What an instance knows of one backend server
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""What an instance knows of one backend server."""

from __future__ import annotations

import random

from mountladder.configuration.backendserver import BackendServer
from mountladder.routing.breaker import Breaker

SLOWNESS_WEIGHT = 0.3
OTHERS_WEIGHT = 0.4
HALF_LIFE_MS = 1_000.0
AVERAGE_HALF_LIFE_MS = 500.0
SLOWNESS_HALF_LIFE_MS = 5_000.0
MOST_SLOWNESS = 20.0
NOTICED_CROWDING = 1.15
LEAVING_MS = 30_000.0
WITHOUT_MS = 3_000.0


class ServerState:
    """Work in flight, reported load, slowness and breaker of one backend server.

    Reports are late and rare, so that what they tell of others' calls is smoothed, and fades while
    no new one comes. Beside them stands a guess: that the other instances of the data centre,
    which choose in the same way, have as many calls there on the average as this one had lately.
    The higher of the two counts.

    Attributes:
        running: The calls this instance has running there.
        average: The same, smoothed over the last second or so.
        peers: How many other instances send work to the same servers.
        others: The calls that others have running there, as reports told last.
        slowness: Its time over the time expected, smoothed; 1 where it is as expected.
        leaving_until: Until when it is taken to be leaving.
        without: Until when it is taken not to have a model loaded, by the model's name.
        rests_since: When it last asked for rest.
        rests_until: Until when it wants no requests from this instance.
    """

    def __init__(self, server: BackendServer, rng: random.Random) -> None:
        self.server = server
        self.breaker = Breaker(rng)
        self.running = 0
        self.average = 0.0
        self.averaged_at = 0.0
        self.peers = 0
        self.others = 0.0
        self.reported_at = 0.0
        self.slowness = 1.0
        self.timed_at = 0.0
        self.leaving_until = 0.0
        self.without: dict[str, float] = {}
        self.rests_since = 0.0
        self.rests_until = 0.0

    def load(self, now: float) -> float:
        """Return the calls it is believed to have at a time."""
        guess = self.peers * self.averaged(now)
        trust = 0.5 ** ((now - self.reported_at) / HALF_LIFE_MS)
        return self.running + max(guess, self.others * trust)

    def averaged(self, now: float) -> float:
        """Return the smoothed number of this instance's calls there at a time."""
        weight = 0.5 ** ((now - self.averaged_at) / AVERAGE_HALF_LIFE_MS)
        return self.running + (self.average - self.running) * weight

    def count(self, change: int, now: float) -> None:
        """Change the number of calls in flight."""
        self.average = self.averaged(now)
        self.averaged_at = now
        self.running += change

    def crowding(self, now: float) -> float:
        """Return by how much its load is believed to lengthen one more call."""
        return max(1.0, (self.load(now) + 1) / self.server.slots)

    def slowness_at(self, now: float) -> float:
        """Return how slow it is believed to be, which fades so that it is tried again."""
        if self.slowness <= 1.0:
            return 1.0
        fading = 0.5 ** ((now - self.timed_at) / SLOWNESS_HALF_LIFE_MS)
        return 1.0 + (self.slowness - 1.0) * fading

    def usable(self, now: float, model: str = "") -> bool:
        """Tell whether new work for a model may be sent to it from this instance."""
        return now >= self.rests_until and self.in_use(now, model)

    def in_use(self, now: float, model: str = "") -> bool:
        """Tell whether new work for a model may be sent to it by whom it asked for no rest."""
        if now < self.leaving_until or now < self.without.get(model, 0.0):
            return False
        return self.breaker.allows(now)

    def lacks(self, model: str, now: float) -> None:
        """Record that the server said it does not have a model loaded."""
        self.without[model] = now + WITHOUT_MS

    def rest(self, for_ms: float, now: float) -> None:
        """Record that it wants no requests from this instance for some time from now on.

        A longer rest that it asked for before goes on, whatever its later answers say.
        """
        self.rests_since = now
        self.rests_until = max(self.rests_until, now + for_ms)

    def rest_ms(self, now: float) -> float:
        """Return for how much longer it wants no requests from this instance, in milliseconds."""
        return max(0.0, self.rests_until - now)

    def begin(self, now: float) -> None:
        """Record that a call is sent."""
        self.count(1, now)
        self.breaker.begin()

    def end(self, now: float) -> None:
        """Record that a call ended."""
        self.count(-1, now)

    def report(self, load: float, now: float) -> None:
        """Take in a load that the server reported, this instance's own calls included."""
        known = self.load(now) - self.running
        self.others = known + OTHERS_WEIGHT * (max(0, load - self.running) - known)
        self.reported_at = now

    def met(self, crowding: float, now: float) -> None:
        """Take in the crowding that a call of this instance met just now."""
        if crowding > NOTICED_CROWDING:
            self.report(crowding * self.server.slots, now)
        else:
            self.report(min(self.load(now), self.server.slots), now)

    def timed(self, ratio: float, now: float) -> None:
        """Learn from the ratio of a call's time to the time expected."""
        known = self.slowness_at(now)
        bounded = min(MOST_SLOWNESS, max(0.1, ratio))
        self.slowness = max(1.0, known + SLOWNESS_WEIGHT * (bounded - known))
        self.timed_at = now

    def leave(self, now: float) -> None:
        """Record that the server said it is leaving."""
        self.leaving_until = now + LEAVING_MS
