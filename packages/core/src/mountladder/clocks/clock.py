# clock.py -- Time in milliseconds
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Time in milliseconds."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import gevent
from gevent.event import Event

from mountladder.errors import WaitTimeoutError


class Clock(ABC):
    """A source of time, in milliseconds, on which every wait of the product is built."""

    @abstractmethod
    def now(self) -> float:
        """Return a time that never goes back, in milliseconds."""

    @abstractmethod
    def wall(self) -> float:
        """Return the milliseconds since the Unix epoch, which may be adjusted."""

    @abstractmethod
    def call_later(self, delay_ms: float, function: Callable[[], None]) -> Callable[[], None]:
        """Run a function that does not block after a delay.

        Args:
            delay_ms: The delay in milliseconds.
            function: What to run.

        Returns:
            A function that withdraws the call where it has not run yet.
        """

    def sleep(self, delay_ms: float) -> None:
        """Pause the calling task for a number of milliseconds."""
        self.wait(Event(), delay_ms)

    def wait(self, event: Event, delay_ms: float) -> bool:
        """Wait for an event at most a number of milliseconds; tell whether it was set."""
        if event.is_set():
            return True
        if delay_ms <= 0:
            gevent.sleep(0)
            return event.is_set()
        waker = Event()
        event.rawlink(lambda _: waker.set())
        cancel = self.call_later(delay_ms, waker.set)
        try:
            waker.wait()
        finally:
            cancel()
        return event.is_set()

    @contextmanager
    def limit(self, delay_ms: float) -> Iterator[None]:
        """Raise WaitTimeoutError in the calling task where the block takes too long."""
        task = gevent.getcurrent()
        loop = gevent.get_hub().loop
        error = WaitTimeoutError(f"took longer than {delay_ms:.0f} ms")
        inside = True

        def throw() -> None:
            """Raise the error where the block still runs."""
            if inside:
                task.throw(error)

        cancel = self.call_later(max(0.0, delay_ms), lambda: loop.run_callback(throw))
        try:
            yield
        finally:
            inside = False
            cancel()
