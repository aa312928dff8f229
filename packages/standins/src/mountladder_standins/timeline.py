# timeline.py -- Record of the configurations in force on each incarnation over time
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Record of the configurations in force on each incarnation over time."""

from __future__ import annotations

import bisect
from dataclasses import dataclass, field

import gevent

from mountladder.clocks.clock import Clock
from mountladder.configuration.configuration import Configuration
from mountladder.runtime import Runtime

READY_STEP_MS = 20.0


@dataclass(frozen=True)
class Timeline:
    """Records when each configuration was in force on each incarnation.

    Attributes:
        clock: The clock.
        times: When each configuration came into force, by incarnation.
        entries: The configurations, in the order of times, by incarnation.
        names: The instance's name by incarnation, in the order of their starts.
        ready_at: When an instance was first ready, by incarnation.
    """

    clock: Clock
    times: dict[str, list[float]] = field(default_factory=dict)
    entries: dict[str, list[Configuration]] = field(default_factory=dict)
    names: dict[str, str] = field(default_factory=dict)
    ready_at: dict[str, float] = field(default_factory=dict)

    def watch(self, runtime: Runtime) -> None:
        """Record every configuration that comes into force on an instance from now on."""
        incarnation = runtime.me.incarnation
        self.times[incarnation] = [self.clock.now()]
        self.entries[incarnation] = [runtime.follower.configuration]
        self.names[incarnation] = runtime.me.name
        gevent.spawn(self.await_ready, runtime)
        follower = runtime.follower
        adopt, replace = follower.adopt, follower.replace

        def record() -> None:
            """Record the configuration in force if it has changed."""
            if follower.configuration is not self.entries[incarnation][-1]:
                self.times[incarnation].append(self.clock.now())
                self.entries[incarnation].append(follower.configuration)

        def watched_adopt(changes) -> bool:
            """Adopt changes and record the configuration."""
            adopted = adopt(changes)
            record()
            return adopted

        def watched_replace(configuration) -> None:
            """Replace the configuration and record it."""
            replace(configuration)
            record()

        follower.adopt = watched_adopt
        follower.replace = watched_replace

    def await_ready(self, runtime: Runtime) -> None:
        """Wait until an instance is ready for requests and record the time."""
        while not runtime.ready:
            self.clock.sleep(READY_STEP_MS)
        self.ready_at[runtime.me.incarnation] = self.clock.now()

    def served(self, incarnation: str) -> list[Configuration]:
        """Return the configurations in force on an incarnation since it was ready, in order."""
        ready_at = self.ready_at.get(incarnation)
        if ready_at is None:
            return []
        start = max(0, bisect.bisect_right(self.times[incarnation], ready_at) - 1)
        return self.entries[incarnation][start:]

    def at(self, incarnation: str, time: float) -> list[Configuration]:
        """Return the configurations in force on an incarnation at a time.

        If one was replaced exactly at that time, both are returned.
        """
        times, entries = self.times[incarnation], self.entries[incarnation]
        end = bisect.bisect_right(times, time)
        start = max(0, bisect.bisect_left(times, time) - 1)
        return entries[start:end]
