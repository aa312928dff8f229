# isolationdetector.py -- Detects that this instance cannot reach any backend server
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Detects that this instance cannot reach any backend server."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import gevent
from eliot import log_message
from gevent.event import Event

from mountladder.clocks.clock import Clock
from mountladder.configuration.backendserver import BackendServer
from mountladder.metrics.metric import Metric
from mountladder.metrics.metrics import Metrics

# Without an answer of any server for this long, one of them is probed, so that an instance with
# few requests notices a partition before the next one.
IDLE_MS = 1_500.0
# The interval of checks after failed calls. A crashed server fails many calls.
MIN_INTERVAL_MS = 400.0
# A check counts as current for this long.
RECENT_CHECK_MS = 100.0
# The interval of checks while no server can be reached.
RECHECK_MS = 500.0
# How many servers are probed in a check. Single servers may be silent for a second or crash, so
# that at least two others have to be out of reach as well.
PROBED_SERVERS = 4
MIN_PROBED_SERVERS = 2
# A little longer than the connect timeout of a probe, 300 ms.
PROBE_MS = 400.0
# If a check takes longer than this, the process itself was paused, which shows nothing.
PAUSED_MS = 2 * PROBE_MS


class IsolationDetector:
    """Detects that this instance cannot reach any backend server, by opening connections to some.

    A failed call alone does not tell a failed server from a partition of this instance. Open
    connections may still work while new ones fail; such an instance counts as isolated too.

    Args:
        sample: Returns some of the servers that may be used, at random, given their maximum number
            and a server to leave out or None.
        reaches: Returns whether a connection to a server can be opened.
        clock: The clock.
        metrics: Reports whether the instance is isolated.

    Attributes:
        isolated: Whether no server can be reached.
        listeners: Called after each change of `isolated`.
        answered_at: When a server last answered.
        checked_at: When the last check began.
        checking: Set at the end of the check in progress, or None.
    """

    def __init__(
        self,
        sample: Callable[[int, BackendServer | None], Sequence[BackendServer]],
        reaches: Callable[[BackendServer], bool],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.sample = sample
        self.reaches = reaches
        self.clock = clock
        self.metrics = metrics
        self.isolated = False
        self.listeners: list[Callable[[], None]] = []
        self.answered_at = clock.now()
        self.checked_at = float("-inf")
        self.checking: Event | None = None
        self.has_failures = False
        self.wake = Event()

    def record_answer(self) -> None:
        """Record that a server has answered."""
        self.answered_at = self.clock.now()

    def record_failure(self) -> None:
        """Record that a call was not answered, or no connection could be opened."""
        self.has_failures = True
        self.wake.set()

    def record_unanswered(self, since: float) -> None:
        """Record that a server has not answered since a time.

        A slow server is no sign of a partition if another one has answered meanwhile.
        """
        if self.answered_at <= since:
            self.record_failure()

    def run(self) -> None:
        """Check whenever a call has failed or no server has answered for a while, forever."""
        while True:
            self.clock.wait(self.wake, self.pause_ms())
            self.wake.clear()
            wait_ms = self.checked_at + MIN_INTERVAL_MS - self.clock.now()
            if wait_ms > 0:
                self.clock.sleep(wait_ms)
            if self.is_due():
                self.check()

    def pause_ms(self) -> float:
        """Return the time until the next check without a further failure, in milliseconds."""
        if self.isolated:
            return RECHECK_MS
        return max(MIN_INTERVAL_MS, self.answered_at + IDLE_MS - self.clock.now())

    def is_due(self) -> bool:
        """Return whether a check is due."""
        idle = self.clock.now() - self.answered_at >= IDLE_MS
        return self.isolated or self.has_failures or idle

    def confirm(self) -> bool:
        """Return whether no server can be reached, by a check that is at most a moment old."""
        if self.isolated or self.clock.now() - self.checked_at < RECENT_CHECK_MS:
            return self.isolated
        return self.check()

    def check(self, suspect: BackendServer | None = None) -> bool:
        """Probe some servers and return whether none of them can be reached.

        A call while a check is in progress waits for that one.

        Args:
            suspect: A server that has failed and is not probed, or None.
        """
        if self.checking is not None:
            self.clock.wait(self.checking, PROBE_MS)
            return self.isolated
        done = self.checking = Event()
        self.checked_at = self.clock.now()
        has_failures, self.has_failures = self.has_failures or suspect is not None, False
        try:
            self.update(self.sample(PROBED_SERVERS, suspect), has_failures)
        finally:
            self.checking = None
            done.set()
        return self.isolated

    def update(self, servers: Sequence[BackendServer], has_failures: bool) -> None:
        """Probe servers and record the result; after an idle time only one server at first."""
        if len(servers) < MIN_PROBED_SERVERS:
            # Too few servers to tell their failure from one of this instance.
            self.set_isolated(False, servers)
        elif not (self.isolated or has_failures) and self.probe_any(servers[:1]):
            self.record_answer()
        else:
            self.set_isolated(not self.probe_any(servers), servers)

    def probe_any(self, servers: Sequence[BackendServer]) -> bool:
        """Return whether a connection to any of some servers can be opened; try all at once.

        If this process was paused meanwhile, nothing has changed.
        """
        began = self.clock.now()
        decided = Event()
        results: list[bool] = []

        def probe(server: BackendServer) -> None:
            """Probe a server; the first one that is reached decides."""
            results.append(self.reaches(server))
            if results[-1] or len(results) == len(servers):
                decided.set()

        tasks = [gevent.spawn(probe, server) for server in servers]
        self.clock.wait(decided, PROBE_MS)
        gevent.killall(tasks, block=False)
        if self.clock.now() - began > PAUSED_MS:
            return any(results) or not self.isolated
        return any(results)

    def set_isolated(self, isolated: bool, servers: Sequence[BackendServer]) -> None:
        """Record whether the instance is isolated, and log a change."""
        if not isolated:
            self.record_answer()
        if isolated == self.isolated:
            return
        self.isolated = isolated
        self.metrics.gauge(Metric.ISOLATED, int(isolated))
        log_message(
            "servers-unreachable" if isolated else "servers-reachable",
            probed=[one.name for one in servers],
            last_answer_ms_ago=round(self.clock.now() - self.answered_at),
        )
        for listener in self.listeners:
            listener()
