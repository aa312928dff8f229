# connectionlimit.py -- Limits the requests of an instance that most new connections go to
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Limits the requests of an instance that most new connections go to."""

from __future__ import annotations

import math
from collections.abc import Callable

from eliot import log_message

from mountladder.clocks.clock import Clock
from mountladder.clocks.timer import MS_PER_SECOND
from mountladder.metrics.metric import Metric
from mountladder.metrics.metrics import Metrics

TICK_MS = 50.0
# How often an instance with few requests checks, for which each check is work that it would not
# have otherwise.
IDLE_TICK_MS = 250.0
# The weight of the latest delay in the mean of those before it.
DELAY_WEIGHT = 0.3
# Each step of a request waits that long for its turn: reading it, each message to a coordinator and
# its reply, the first event. That adds up to half a second with three stages.
MAX_DELAY_MS = 50.0
# Most callers come here if they are so many times as many as usual. A burst of the whole traffic is
# below that. Requests are counted, since callers that lost an instance open many connections, and
# the connections that were closed, whose callers would have sent one.
CROWDED_FACTOR = 3.0
MIN_CROWDED_PER_S = 10.0
# The usual rate is a mean over some seconds, and unknown before MIN_USUAL_S of them. No second
# counts for more than twice the mean, so that a crowd does not become usual while it is noticed.
USUAL_S, MIN_USUAL_S = 20.0, 4
# How the limit follows the delay, per tick. The work of a request is spread over its duration, so
# that the delay reacts late: the limit grows more slowly than it falls.
DECREASE, INCREASE, INCREMENT = 0.9, 1.02, 0.1
# With fewer requests in progress an instance is not what limits them. It also goes on to take
# connections, so that those who open them know that it serves.
MIN_RUNNING = 4.0
# The limit ends once the requests have been as usual for so long.
LIFT_AFTER_MS = 1_000.0


class ConnectionLimit:
    """Closes new connections unread while this instance gets far more of them than it can serve.

    Load it handles: a balancer hands most new connections to one instance for some seconds, which
    then lacks processor time. All its requests become slow, and those with several stages exceed
    their deadlines, while other instances are idle. A caller whose connection is closed before its
    request was read may send it again at once, whatever its kind, and reaches another instance.

    That holds only if others can take the callers: where the traffic of all instances grows, or
    most peers do not answer, no connection is closed.

    Args:
        clock: The clock.
        running: Returns the number of callers' requests in progress.
        received: Returns how many requests of callers have begun so far.
        peers_answer: Returns whether most other instances answer.
        metrics: Counts the closed connections.

    Attributes:
        delay_ms: The mean time that a task waits for its turn, in milliseconds.
        limit: How many requests may be in progress when a further connection is accepted.
        closed: The connections that were closed unread in the present second.
        received_before: How many requests had begun before the present second.
        per_s: How many callers came in the second before.
        usual_per_s: How many usually come in a second.
        seconds: For how many seconds that has been measured.
        second_began_at: When the present second began, or None before the first request.
        crowded_at: When most callers were last found to come here.
    """

    def __init__(
        self,
        clock: Clock,
        running: Callable[[], int],
        received: Callable[[], int],
        peers_answer: Callable[[], bool],
        metrics: Metrics,
    ) -> None:
        self.clock = clock
        self.running = running
        self.received = received
        self.peers_answer = peers_answer
        self.metrics = metrics
        self.delay_ms = 0.0
        self.limit = math.inf
        self.closed = self.received_before = 0
        self.per_s = 0.0
        self.usual_per_s = 0.0
        self.seconds = 0
        self.second_began_at: float | None = None
        self.crowded_at = -math.inf

    def run(self) -> None:
        """Measure how long tasks wait for their turn, and adapt the limit, forever."""
        while True:
            tick_ms = TICK_MS if self.is_busy() else IDLE_TICK_MS
            due_at = self.clock.now() + tick_ms
            self.clock.sleep(tick_ms)
            self.tick(self.clock.now() - due_at)

    def is_busy(self) -> bool:
        """Return whether so many callers come that the limit may have to be adapted."""
        return not math.isinf(self.limit) or max(self.per_s, self.arrived()) >= MIN_CROWDED_PER_S

    def tick(self, late_ms: float) -> None:
        """Adapt the limit.

        Args:
            late_ms: How much later than it was due this task had its turn, in milliseconds.
        """
        self.delay_ms += DELAY_WEIGHT * (max(0.0, late_ms) - self.delay_ms)
        now = self.clock.now()
        if self.second_began_at is None and self.received():
            self.second_began_at = now
        if self.second_began_at is not None and now - self.second_began_at >= MS_PER_SECOND:
            self.end_second(now)
        if self.is_crowded(now):
            self.crowded_at = now
            if self.delay_ms > MAX_DELAY_MS:
                self.lower()
                return
        if math.isinf(self.limit):
            return
        self.limit = INCREASE * self.limit + INCREMENT
        if now - self.crowded_at >= LIFT_AFTER_MS or not self.peers_answer():
            self.limit = math.inf
            log_message("connection-limit-lifted", per_s=round(self.per_s))

    def lower(self) -> None:
        """Lower the limit, or set one, since requests are slow and others can take them."""
        running = self.running()
        if math.isinf(self.limit):
            log_message(
                "connections-limited",
                delay_ms=round(self.delay_ms),
                running=running,
                per_s=round(max(self.per_s, self.arrived_per_s(self.clock.now()))),
                usual_per_s=round(self.usual_per_s, 1),
            )
        self.limit = max(MIN_RUNNING, DECREASE * min(self.limit, running))

    def arrived(self) -> int:
        """Return how many callers have come in the present second."""
        return self.received() - self.received_before + self.closed

    def arrived_per_s(self, now: float) -> float:
        """Return how many callers come in a second, by those of the present one.

        After a pause of the process it lasts longer.
        """
        elapsed_ms = now - (self.second_began_at or now)
        return self.arrived() * MS_PER_SECOND / max(MS_PER_SECOND, elapsed_ms)

    def is_crowded(self, now: float) -> bool:
        """Return whether far more callers than usual come here, while most peers answer."""
        per_s = max(self.per_s, self.arrived_per_s(now))
        return (
            self.seconds >= MIN_USUAL_S
            and per_s >= max(MIN_CROWDED_PER_S, CROWDED_FACTOR * self.usual_per_s)
            and self.peers_answer()
        )

    def accepts(self) -> bool:
        """Return whether a new connection is served; if not it is to be closed unread."""
        if self.running() < self.limit:
            return True
        self.closed += 1
        self.metrics.count(Metric.CLOSED_UNREAD)
        return False

    def end_second(self, now: float) -> None:
        """Record how many callers came in a second."""
        per_s = self.arrived_per_s(now)
        if self.closed:
            log_message(
                "connections-closed",
                per_s=round(per_s),
                closed=self.closed,
                limit=round(self.limit, 1),
                running=self.running(),
                delay_ms=round(self.delay_ms),
            )
        self.seconds += 1
        counted = per_s
        if self.seconds > MIN_USUAL_S:
            counted = min(counted, 2.0 * self.usual_per_s + 1.0)
        self.usual_per_s += (counted - self.usual_per_s) / min(self.seconds, USUAL_S)
        self.per_s, self.received_before, self.closed = per_s, self.received(), 0
        self.second_began_at = now
