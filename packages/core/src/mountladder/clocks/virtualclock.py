# virtualclock.py -- Virtual time for simulations
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Virtual time for simulations."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from functools import partial

import gevent

from mountladder.clocks.clock import Clock

EPOCH_WALL_MS = 1_790_000_000_000.0


class VirtualClock(Clock):
    """A clock that stands still while any task can run, then jumps to the next timer."""

    def __init__(self) -> None:
        self.time = 0.0
        self.timers: list[tuple[float, int]] = []
        self.functions: dict[int, Callable[[], None]] = {}
        self.numbers = itertools.count()

    def now(self) -> float:
        """Return the virtual time in milliseconds."""
        return self.time

    def wall(self) -> float:
        """Return a wall-clock time that advances with the virtual time."""
        return EPOCH_WALL_MS + self.time

    def call_later(self, delay_ms: float, function: Callable[[], None]) -> Callable[[], None]:
        """Call a function after a virtual delay; see Clock."""
        number = next(self.numbers)
        heapq.heappush(self.timers, (self.time + max(0.0, delay_ms), number))
        self.functions[number] = function
        return partial(self.functions.pop, number, None)

    def run(self, task: gevent.Greenlet) -> object:
        """Advance the virtual time until a task finishes, and return its result.

        Raises:
            RuntimeError: All tasks wait and no timer is set.
        """
        while not task.ready():
            gevent.idle()
            if not task.ready() and not self.advance():
                raise RuntimeError("every task waits and no timer is set")
        return task.get()

    def advance(self) -> bool:
        """Fire the next timer; return whether there was one."""
        while self.timers:
            due, number = heapq.heappop(self.timers)
            function = self.functions.pop(number, None)
            if function is None:
                continue
            self.time = max(self.time, due)
            function()
            return True
        return False
