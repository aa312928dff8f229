# systemclock.py -- The machine's clock, including suspensions
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The machine's clock, including suspensions."""

from __future__ import annotations

import time
from collections.abc import Callable
from functools import partial

import gevent
from gevent.event import Event
from gevent.hub import Waiter

from mountladder.clocks.clock import Clock
from mountladder.clocks.timer import MS_PER_SECOND, Timer

# The two clocks are read one after the other, so their difference varies slightly; a suspension
# takes far longer than this.
MIN_SUSPENSION_MS = 50.0


class SystemClock(Clock):
    """The machine's clock, waiting on the gevent hub.

    While a machine is suspended, its monotonic clock and the hub's timers stand still, so that
    ages measured by it would be too low by that time. Time is therefore read from the boot-time
    clock, which includes suspensions. Timers that came due during a suspension fire as soon as it
    is detected: when the time is next read, as with every message, request and heartbeat.

    Args:
        boottime: Returns the seconds since the machine started, including suspensions; None for the
            machine's clock.
        monotonic: Returns the same without suspensions.
    """

    def __init__(
        self,
        boottime: Callable[[], float] | None = None,
        monotonic: Callable[[], float] = time.monotonic,
    ) -> None:
        self.boottime = boottime or partial(time.clock_gettime, time.CLOCK_BOOTTIME)
        self.monotonic = monotonic
        self.suspended_ms = self.read_suspended(self.boottime() * MS_PER_SECOND)
        self.timers: set[Timer] = set()

    def now(self) -> float:
        """Return the milliseconds since the machine started, including suspensions."""
        now = self.boottime() * MS_PER_SECOND
        suspended_ms = self.read_suspended(now)
        if suspended_ms - self.suspended_ms > MIN_SUSPENSION_MS:
            self.suspended_ms = suspended_ms
            self.rearm_timers(now)
        return now

    def read_suspended(self, now: float) -> float:
        """Return how long the machine was suspended in total, in milliseconds."""
        return now - self.monotonic() * MS_PER_SECOND

    def wall(self) -> float:
        """Return the milliseconds since the Unix epoch."""
        return time.time() * MS_PER_SECOND

    def call_later(self, delay_ms: float, function: Callable[[], None]) -> Callable[[], None]:
        """Call a function after a delay; see Clock."""
        delay_ms = max(0.0, delay_ms)
        timer = Timer(self.now() + delay_ms, self.timers, function)
        timer.arm(delay_ms)
        return timer.cancel

    def rearm_timers(self, now: float) -> None:
        """Restart all timers with the time remaining until they are due."""
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

    def wait(self, event: Event, delay_ms: float) -> bool:
        """Wait for an event with a timeout; see Clock."""
        if event.is_set() or delay_ms <= 0:
            return super().wait(event, delay_ms)
        # A Waiter is woken directly by the event and the timer; Clock.wait needs a second event.
        waiter = Waiter()
        wake = waiter.switch
        event.rawlink(wake)
        cancel = self.call_later(delay_ms, partial(wake, None))
        try:
            waiter.get()
        finally:
            cancel()
            event.unlink(wake)
        return event.is_set()
