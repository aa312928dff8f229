# serverstate.py -- An instance's view of one backend server
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""An instance's view of one backend server."""

from __future__ import annotations

import random

from mountladder.configuration.backendserver import BackendServer
from mountladder.performance.serverpace import UNKNOWN_PACE, ServerPace
from mountladder.routing.breaker import Breaker

SLOWNESS_WEIGHT = 0.3
LOAD_REPORT_WEIGHT = 0.4
LOAD_HALF_LIFE_MS = 1_000.0
AVERAGE_HALF_LIFE_MS = 500.0
SLOWNESS_HALF_LIFE_MS = 5_000.0
MAX_SLOWNESS = 20.0
# A call is late if it took longer than expected by more than this ratio. A sound server may be
# silent for a second or so, and all calls that wait for it then are late once; one that is slow is
# late again at the next call.
LATE_RATIO = 1.8
# One call counts as at most this many times slower than those before: slow servers are 4 to 5 times
# slower, and what takes longer is likely a silence.
MAX_RISE = 4.0
MIN_NOTICED_LOAD_FACTOR = 1.15
LEAVING_MS = 30_000.0
MISSING_MODEL_MS = 3_000.0


class ServerState:
    """Calls in flight, reported load, slowness and circuit breaker of one backend server.

    The load that other instances cause is estimated in two ways, and the higher value counts.
    Load reports of the server are late and rare, so they are smoothed and decay until the next
    one. The other estimate assumes that each other instance, which chooses in the same way, has as
    many calls there as this instance had lately on average.

    Attributes:
        running: The number of calls that this instance has in flight there.
        mean_running: The same, as a moving average with a half-life of half a second.
        peers: The number of other instances that send work to the same servers.
        others_running: The number of calls of other instances there, by the smoothed load reports.
        pace: What is known of its lasting speed.
        slowness: The smoothed ratio of observed to expected call times, at least 1, beyond what its
            lasting speed predicts.
        slowness_factor: The lasting factor that the slowness comes on top of.
        late_at: When a call was last late, or None if one that was sent after that was on time.
        leaving_until: Until when it counts as leaving.
        missing_until: Until when it counts as lacking a model, by the model's name.
        backoff_since: When it last asked this instance to back off.
        backoff_until: When the back-off that it asked for ends.
    """

    def __init__(self, server: BackendServer, rng: random.Random) -> None:
        self.server = server
        self.breaker = Breaker(rng)
        self.running = 0
        self.mean_running = 0.0
        self.mean_updated_at = 0.0
        self.peers = 0
        self.others_running = 0.0
        self.reported_at = 0.0
        self.pace: ServerPace = UNKNOWN_PACE
        self.slowness = 1.0
        self.slowness_updated_at = 0.0
        self.slowness_factor = 1.0
        self.late_at: float | None = None
        self.leaving_until = 0.0
        self.missing_until: dict[str, float] = {}
        self.backoff_since = 0.0
        self.backoff_until = 0.0

    def load(self, now: float) -> float:
        """Return the estimated number of calls in flight at the server, from all instances."""
        assumed = self.peers * self.mean_running_at(now)
        report_weight = 0.5 ** ((now - self.reported_at) / LOAD_HALF_LIFE_MS)
        return self.running + max(assumed, self.others_running * report_weight)

    def mean_running_at(self, now: float) -> float:
        """Return the moving average of the calls that this instance has in flight there."""
        weight = 0.5 ** ((now - self.mean_updated_at) / AVERAGE_HALF_LIFE_MS)
        return self.running + (self.mean_running - self.running) * weight

    def change_running(self, change: int, now: float) -> None:
        """Change the number of calls in flight."""
        self.mean_running = self.mean_running_at(now)
        self.mean_updated_at = now
        self.running += change

    def load_factor(self, now: float) -> float:
        """Return the factor by which the server's load lengthens a new call, at least 1."""
        return max(1.0, (self.load(now) + 1) / self.server.slots)

    def slowness_at(self, now: float) -> float:
        """Return the server's slowness, which decays so that a slow server is tried again."""
        if self.slowness <= 1.0:
            return 1.0
        decay = 0.5 ** ((now - self.slowness_updated_at) / SLOWNESS_HALF_LIFE_MS)
        slowness = 1.0 + (self.slowness - 1.0) * decay
        if self.pace.factor > self.slowness_factor:
            # What was slowness before is predicted by the factor learnt since, so counts once.
            slowness = max(1.0, slowness * self.slowness_factor / self.pace.factor)
        return slowness

    def excess_at(self, now: float) -> float:
        """Return how much slower it is at present than its lasting speed predicts, at least 1."""
        return max(self.slowness_at(now), self.pace.spell_at(now))

    def time_factor(self, now: float) -> float:
        """Return the expected time of work there as a multiple of the usual one."""
        return self.pace.factor * self.excess_at(now)

    def usable(self, now: float, model: str = "", suspects: bool = False) -> bool:
        """Return whether this instance may send the server new work for a model; see in_use."""
        return now >= self.backoff_until and self.in_use(now, model, suspects)

    def in_use(self, now: float, model: str = "", suspects: bool = False) -> bool:
        """Return whether the server accepts new work for a model, regardless of back-offs.

        Args:
            now: The clock's time.
            model: The model.
            suspects: Whether a server is used that may just be silent for a moment.
        """
        if now < self.leaving_until or now < self.missing_until.get(model, 0.0):
            return False
        return self.breaker.allows(now) or (suspects and self.breaker.is_suspect(now))

    def record_missing_model(self, model: str, now: float) -> None:
        """Record that the server answered that it does not have a model loaded."""
        self.missing_until[model] = now + MISSING_MODEL_MS

    def back_off(self, for_ms: float, now: float) -> None:
        """Record that the server asked this instance to send nothing for a time from now on.

        A later answer never shortens an earlier back-off.
        """
        self.backoff_since = now
        self.backoff_until = max(self.backoff_until, now + for_ms)

    def backoff_ms(self, now: float) -> float:
        """Return the remaining back-off for this instance, in milliseconds, or 0."""
        return max(0.0, self.backoff_until - now)

    def begin(self, now: float) -> None:
        """Record that a call is sent."""
        self.change_running(1, now)
        self.breaker.begin()

    def end(self, now: float) -> None:
        """Record that a call ended."""
        self.change_running(-1, now)

    def record_load(self, load: float, now: float) -> None:
        """Update the load from a report of the server, which includes this instance's calls."""
        known = self.load(now) - self.running
        self.others_running = known + LOAD_REPORT_WEIGHT * (max(0, load - self.running) - known)
        self.reported_at = now

    def record_load_factor(self, load_factor: float, now: float) -> None:
        """Update the load from the load factor that a call of this instance observed.

        A factor close to 1 only shows that the server's slots are not exceeded.
        """
        if load_factor > MIN_NOTICED_LOAD_FACTOR:
            self.record_load(load_factor * self.server.slots, now)
        else:
            self.record_load(min(self.load(now), self.server.slots), now)

    def record_time_ratio(self, ratio: float, now: float, sent_at: float) -> bool:
        """Update the slowness from the ratio of a call's time to the time expected.

        Args:
            ratio: The ratio.
            now: The clock's time.
            sent_at: When the call was sent.

        Returns:
            Whether the time says something about the server's speed. That of a late call says
            nothing, unless the call was sent after another one had been late.
        """
        known = self.slowness_at(now)
        bounded = min(MAX_SLOWNESS, MAX_RISE * known, max(0.1, ratio))
        is_late = bounded > LATE_RATIO * known
        if self.late_at is not None and sent_at <= self.late_at:
            if bounded > known:
                return False
        elif is_late:
            is_first = self.late_at is None
            self.late_at = now
            if is_first:
                return False
        else:
            self.late_at = None
        self.slowness = max(1.0, known + SLOWNESS_WEIGHT * (bounded - known))
        self.slowness_updated_at = now
        self.slowness_factor = self.pace.factor
        return True

    def mark_leaving(self, now: float) -> None:
        """Record that the server announced that it is leaving."""
        self.leaving_until = now + LEAVING_MS
