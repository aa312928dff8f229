# systemclock.py -- The clock of the machine
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The clock of the machine."""

from __future__ import annotations

import time
from collections.abc import Callable

import gevent

from mountladder.clocks.clock import Clock

MS_PER_SECOND = 1000.0


class SystemClock(Clock):
    """The machine's clock, waiting on the gevent hub."""

    def now(self) -> float:
        """Return the monotonic time in milliseconds."""
        return time.monotonic() * MS_PER_SECOND

    def wall(self) -> float:
        """Return the milliseconds since the Unix epoch."""
        return time.time() * MS_PER_SECOND

    def call_later(self, delay_ms: float, function: Callable[[], None]) -> Callable[[], None]:
        """Run a function after a delay; see Clock."""
        timer = gevent.get_hub().loop.timer(max(0.0, delay_ms) / MS_PER_SECOND)
        timer.start(function)

        def cancel() -> None:
            """Withdraw the call."""
            timer.stop()
            timer.close()

        return cancel

    def sleep(self, delay_ms: float) -> None:
        """Pause the calling task."""
        gevent.sleep(max(0.0, delay_ms) / MS_PER_SECOND)
