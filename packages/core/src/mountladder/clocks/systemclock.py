# systemclock.py -- The clock of the machine
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The clock of the machine."""

from __future__ import annotations

import time
from collections.abc import Callable
from functools import partial

import gevent
from gevent.hub import Waiter

from mountladder.clocks.clock import Clock
from mountladder.clocks.timer import MS_PER_SECOND, Timer

# Both clocks are read a moment apart; a machine is suspended for far longer than this.
LEAST_SUSPENSION_MS = 50.0


class SystemClock(Clock):
    """The machine's clock, waiting on the gevent hub.

    While a machine is suspended its steady clock stands still, and the hub's timers with it, so
    that whatever has an age would be too young by that time. So time is read from the clock that
    goes on, and timers that came due meanwhile run as soon as the suspension is noticed: with the
    next reading, which every message, request and heartbeat brings.

    Args:
        boot: Returns the seconds since the machine started, suspensions included; None for the
            machine's own.
        steady: Returns the same without them.
    """

    def __init__(
        self,
        boot: Callable[[], float] | None = None,
        steady: Callable[[], float] = time.monotonic,
    ) -> None:
        self.boot = boot or partial(time.clock_gettime, time.CLOCK_BOOTTIME)
        self.steady = steady
        self.suspended_ms = self.read_suspended(self.boot() * MS_PER_SECOND)
        self.timers: set[Timer] = set()

    def now(self) -> float:
        """Return the milliseconds since the machine started, suspensions included."""
        now = self.boot() * MS_PER_SECOND
        suspended_ms = self.read_suspended(now)
        if suspended_ms - self.suspended_ms > LEAST_SUSPENSION_MS:
            self.suspended_ms = suspended_ms
            self.arm_again(now)
        return now

    def read_suspended(self, now: float) -> float:
        """Return for how long the machine has been suspended by now, in milliseconds."""
        return now - self.steady() * MS_PER_SECOND

    def wall(self) -> float:
        """Return the milliseconds since the Unix epoch."""
        return time.time() * MS_PER_SECOND

    def call_later(self, delay_ms: float, function: Callable[[], None]) -> Callable[[], None]:
        """Run a function after a delay; see Clock."""
        delay_ms = max(0.0, delay_ms)
        timer = Timer(self.now() + delay_ms, self.timers, function)
        timer.arm(delay_ms)
        return timer.cancel

    def arm_again(self, now: float) -> None:
        """Set all timers anew by the time that has really passed."""
        for timer in list(self.timers):
            timer.arm(max(0.0, timer.due - now))

    def sleep(self, delay_ms: float) -> None:
        """Pause the calling task."""
        if delay_ms <= 0:
            gevent.sleep(0)
            return
        waiter = Waiter()
        cancel = self.call_later(delay_ms, partial(waiter.switch, None))
        try:
            waiter.get()
        finally:
            cancel()
