# shutdown.py -- Graceful shutdown of an instance
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Graceful shutdown of an instance."""

from __future__ import annotations

from collections.abc import Callable

from mountladder.clocks.clock import Clock
from mountladder.code import Code
from mountladder.errors import RefusalError
from mountladder.forwarding.route import Route
from mountladder.forwarding.routekind import RouteKind

# The load balancer removes an instance after two failed health checks, one second apart. Later
# requests on connections that are still open are refused if they might outlive the process.
ACCEPT_MS = 2_500.0
# The process exits this long before it would be killed, to close remaining connections cleanly.
EXIT_MARGIN_MS = 400.0
# Callers may retry at another instance almost at once.
RETRY_MS = 50.0


class Shutdown:
    """Tracks whether an instance is shutting down and which requests it still accepts.

    Args:
        clock: The clock.
        grace_ms: Returns how long the shutdown may take, in milliseconds.

    Attributes:
        requested_at: When the shutdown was requested, or None.
        is_closing: Whether connections are being closed, so that no request can finish any more.
    """

    def __init__(self, clock: Clock, grace_ms: Callable[[], float]) -> None:
        self.clock = clock
        self.grace_ms = grace_ms
        self.requested_at: float | None = None
        self.is_closing = False

    def begin(self) -> None:
        """Record the request to shut down."""
        if self.requested_at is None:
            self.requested_at = self.clock.now()

    def elapsed_ms(self) -> float:
        """Return how long ago the shutdown was requested, in milliseconds, or 0 if it was not."""
        return 0.0 if self.requested_at is None else self.clock.now() - self.requested_at

    def remaining_ms(self) -> float:
        """Return the time until the process must exit, in milliseconds; infinite if running."""
        if self.requested_at is None:
            return float("inf")
        return self.grace_ms() - EXIT_MARGIN_MS - self.elapsed_ms()

    def check(self, route: Route) -> None:
        """Check that a request on a route is certain to finish before the process exits.

        Raises:
            RefusalError: The instance is shutting down and the request might not finish in time.
        """
        is_late = self.elapsed_ms() > ACCEPT_MS
        may_outlast = route.kind is RouteKind.STREAM or route.timeout_ms > self.remaining_ms()
        if self.is_closing or (is_late and may_outlast):
            raise RefusalError("", Code.SHUTTING_DOWN, retry_after_ms=RETRY_MS)
