# serverstate.py -- An instance's view of one backend server
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""An instance's view of one backend server."""

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
    """Calls in flight, reported load, slowness and circuit breaker of one backend server.

    The load that other instances cause is estimated in two ways, and the higher value counts.
    Load reports of the server are late and rare, so they are smoothed and decay until the next
    one. The other estimate assumes that each other instance, which chooses in the same way, has as
    many calls there as this instance had lately on average.

    Attributes:
        running: The number of calls that this instance has in flight there.
        average: The same, as a moving average with a half-life of half a second.
        peers: The number of other instances that send work to the same servers.
        others: The number of calls of other instances there, by the smoothed load reports.
        slowness: The smoothed ratio of observed to expected call times, at least 1.
        leaving_until: Until when it counts as leaving.
        without: Until when it counts as lacking a model, by the model's name.
        rests_since: When it last asked this instance to back off.
        rests_until: When the back-off that it asked for ends.
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
        """Return the estimated number of calls it has in flight at a time, from all instances."""
        guess = self.peers * self.averaged(now)
        trust = 0.5 ** ((now - self.reported_at) / HALF_LIFE_MS)
        return self.running + max(guess, self.others * trust)

    def averaged(self, now: float) -> float:
        """Return the moving average of this instance's calls there at a time."""
        weight = 0.5 ** ((now - self.averaged_at) / AVERAGE_HALF_LIFE_MS)
        return self.running + (self.average - self.running) * weight

    def count(self, change: int, now: float) -> None:
        """Change the number of calls in flight."""
        self.average = self.averaged(now)
        self.averaged_at = now
        self.running += change

    def crowding(self, now: float) -> float:
        """Return the factor by which its estimated load lengthens one more call, at least 1."""
        return max(1.0, (self.load(now) + 1) / self.server.slots)

    def slowness_at(self, now: float) -> float:
        """Return its slowness at a time, which decays so that a slow server is tried again."""
        if self.slowness <= 1.0:
            return 1.0
        fading = 0.5 ** ((now - self.timed_at) / SLOWNESS_HALF_LIFE_MS)
        return 1.0 + (self.slowness - 1.0) * fading

    def usable(self, now: float, model: str = "") -> bool:
        """Return whether this instance may send it new work for a model."""
        return now >= self.rests_until and self.in_use(now, model)

    def in_use(self, now: float, model: str = "") -> bool:
        """Return whether it accepts new work for a model, regardless of back-offs it asked for."""
        if now < self.leaving_until or now < self.without.get(model, 0.0):
            return False
        return self.breaker.allows(now)

    def lacks(self, model: str, now: float) -> None:
        """Record that it answered that it does not have a model loaded."""
        self.without[model] = now + WITHOUT_MS

    def rest(self, for_ms: float, now: float) -> None:
        """Record that it asked this instance to send nothing for a time from now on.

        A later answer never shortens a back-off that it asked for before.
        """
        self.rests_since = now
        self.rests_until = max(self.rests_until, now + for_ms)

    def rest_ms(self, now: float) -> float:
        """Return the rest of its back-off for this instance, in milliseconds, or 0."""
        return max(0.0, self.rests_until - now)

    def begin(self, now: float) -> None:
        """Record that a call is sent."""
        self.count(1, now)
        self.breaker.begin()

    def end(self, now: float) -> None:
        """Record that a call ended."""
        self.count(-1, now)

    def report(self, load: float, now: float) -> None:
        """Update the load from a report of the server, which includes this instance's calls."""
        known = self.load(now) - self.running
        self.others = known + OTHERS_WEIGHT * (max(0, load - self.running) - known)
        self.reported_at = now

    def met(self, crowding: float, now: float) -> None:
        """Update the load from the load factor that a call of this instance observed.

        A factor close to 1 only shows that its slots are not exceeded."""
        if crowding > NOTICED_CROWDING:
            self.report(crowding * self.server.slots, now)
        else:
            self.report(min(self.load(now), self.server.slots), now)

    def timed(self, ratio: float, now: float) -> None:
        """Update the slowness from the ratio of a call's time to the time expected."""
        known = self.slowness_at(now)
        bounded = min(MOST_SLOWNESS, max(0.1, ratio))
        self.slowness = max(1.0, known + SLOWNESS_WEIGHT * (bounded - known))
        self.timed_at = now

    def leave(self, now: float) -> None:
        """Record that it announced that it is leaving."""
        self.leaving_until = now + LEAVING_MS
