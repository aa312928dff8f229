# clock.py -- Interface of clocks, with waits and time limits
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Interface of clocks, with waits and time limits."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import gevent
from gevent.event import Event

from mountladder.errors import WaitTimeoutError

# The least delay of a check that is repeated until a time has passed. The remainder that rounding
# leaves would otherwise have the next check come at the same time, again and again.
MIN_DELAY_MS = 1.0


class Clock(ABC):
    """A source of time in milliseconds; all waits and timeouts are based on one."""

    @abstractmethod
    def now(self) -> float:
        """Return a monotonic time, in milliseconds."""

    @abstractmethod
    def wall(self) -> float:
        """Return the milliseconds since the Unix epoch, which may be adjusted."""

    @abstractmethod
    def call_later(self, delay_ms: float, function: Callable[[], None]) -> Callable[[], None]:
        """Call a function after a delay.

        Args:
            delay_ms: The delay in milliseconds.
            function: The function, which must not block.

        Returns:
            A function that cancels the call if it was not made yet.
        """

    def sleep(self, delay_ms: float) -> None:
        """Pause the calling task for a number of milliseconds."""
        self.wait(Event(), delay_ms)

    def wait(self, event: Event, delay_ms: float) -> bool:
        """Wait for an event with a timeout in milliseconds; return whether it was set."""
        if event.is_set():
            return True
        if delay_ms <= 0:
            gevent.sleep(0)
            return event.is_set()
        waker = Event()

        def wake(_: Event) -> None:
            """Wake the calling task."""
            waker.set()

        event.rawlink(wake)
        cancel = self.call_later(delay_ms, waker.set)
        try:
            waker.wait()
        finally:
            cancel()
            # An event that is not set keeps its links, so that a loop would add one each time.
            event.unlink(wake)
        return event.is_set()

    @contextmanager
    def time_limit(self, delay_ms: float) -> Iterator[None]:
        """Raise WaitTimeoutError in the calling task if the block exceeds a time limit."""
        task = gevent.getcurrent()
        loop = gevent.get_hub().loop
        error = WaitTimeoutError(f"took longer than {delay_ms:.0f} ms")
        inside = True

        def throw() -> None:
            """Raise the error if the block still runs."""
            if inside:
                task.throw(error)

        cancel = self.call_later(max(0.0, delay_ms), lambda: loop.run_callback(throw))
        try:
            yield
        finally:
            inside = False
            cancel()
