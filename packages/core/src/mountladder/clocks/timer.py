# timer.py -- A delayed call on the gevent hub
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A delayed call on the gevent hub."""

from __future__ import annotations

from collections.abc import Callable

import gevent

MS_PER_SECOND = 1000.0


class Timer:
    """A delayed call on the gevent hub, which can be rescheduled.

    Once it was made or cancelled, the timer does not refer to the function any more: whoever keeps
    the timer to cancel it is often what the function belongs to.

    Args:
        due: When the call is due, in the clock's milliseconds.
        armed: The set of waiting timers, to which it adds itself while it waits.
        function: The function to call, which must not block.
    """

    __slots__ = ("due", "armed", "function", "watcher")

    def __init__(self, due: float, armed: set[Timer], function: Callable[[], None]) -> None:
        self.due = due
        self.armed = armed
        self.function = function
        self.watcher = None

    def arm(self, delay_ms: float) -> None:
        """Start the timer, or restart it, with a delay from now."""
        self.stop()
        self.armed.add(self)
        self.watcher = gevent.get_hub().loop.timer(delay_ms / MS_PER_SECOND)
        self.watcher.start(self.fire)

    def fire(self) -> None:
        """Call the function."""
        function = self.function
        self.cancel()
        function()

    def cancel(self) -> None:
        """Cancel the call if it was not made yet."""
        self.armed.discard(self)
        self.stop()
        self.function = _do_nothing

    def stop(self) -> None:
        """Remove the timer from the hub."""
        if self.watcher is not None:
            self.watcher.stop()
            self.watcher.close()
            self.watcher = None


def _do_nothing() -> None:
    """Stand for a function that is not called any more."""
