# departure.py -- The end of an instance
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The end of an instance."""

from __future__ import annotations

from collections.abc import Callable

from mountladder.clocks.clock import Clock
from mountladder.code import Code
from mountladder.errors import RefusalError
from mountladder.forwarding.route import Route
from mountladder.forwarding.routekind import RouteKind

# The balancer takes an instance out after two questions, a second apart. What comes on connections
# that stay open later than this is refused where it might not end before the process does.
ACCEPT_MS = 2_500.0
# The process ends this much before it would be killed, so that what is left is cut in order.
MARGIN_MS = 400.0
# Another instance can be asked at once.
RETRY_MS = 50.0


class Departure:
    """Whether an instance is about to end, and what it still takes.

    Args:
        clock: The clock.
        grace_ms: Returns how long ending may take, in milliseconds.

    Attributes:
        asked_at: When the process was asked to end, or None.
    """

    def __init__(self, clock: Clock, grace_ms: Callable[[], float]) -> None:
        self.clock = clock
        self.grace_ms = grace_ms
        self.asked_at: float | None = None

    def begin(self) -> None:
        """Record that the process was asked to end."""
        if self.asked_at is None:
            self.asked_at = self.clock.now()

    def waited_ms(self) -> float:
        """Return how long ago the process was asked to end; 0 if it was not."""
        return 0.0 if self.asked_at is None else self.clock.now() - self.asked_at

    def left_ms(self) -> float:
        """Return how long the process has yet; infinite if it was not asked to end."""
        if self.asked_at is None:
            return float("inf")
        return self.grace_ms() - MARGIN_MS - self.waited_ms()

    def check(self, route: Route) -> None:
        """Let a request in that is sure to end before the process.

        Raises:
            RefusalError: It might not.
        """
        if self.waited_ms() <= ACCEPT_MS:
            return
        if route.kind is RouteKind.STREAM or route.timeout_ms > self.left_ms():
            raise RefusalError("", Code.SHUTTING_DOWN, retry_after_ms=RETRY_MS)
