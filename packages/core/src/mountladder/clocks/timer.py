# timer.py -- A call that is to be made later
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A call that is to be made later."""

from __future__ import annotations

from collections.abc import Callable

import gevent

MS_PER_SECOND = 1000.0


class Timer:
    """A call that is to be made later on the gevent hub, and may be set anew.

    Args:
        due: When it is to be made, in the clock's milliseconds.
        armed: The timers that are waiting, which it joins and leaves.
        function: What to call, which does not block.
    """

    __slots__ = ("due", "armed", "function", "watcher")

    def __init__(self, due: float, armed: set[Timer], function: Callable[[], None]) -> None:
        self.due = due
        self.armed = armed
        self.function = function
        self.watcher = None

    def arm(self, delay_ms: float) -> None:
        """Wait so long on the hub from now on, whatever it waited for before."""
        self.stop()
        self.armed.add(self)
        self.watcher = gevent.get_hub().loop.timer(delay_ms / MS_PER_SECOND)
        self.watcher.start(self.fire)

    def fire(self) -> None:
        """Make the call."""
        self.cancel()
        self.function()

    def cancel(self) -> None:
        """Withdraw the call, where it was not made yet."""
        self.armed.discard(self)
        self.stop()

    def stop(self) -> None:
        """Take the timer off the hub."""
        if self.watcher is not None:
            self.watcher.stop()
            self.watcher.close()
            self.watcher = None
