# serverwatch.py -- Watches the server of a stream that can continue elsewhere
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Watches the server of a stream that can continue elsewhere."""

from __future__ import annotations

from collections.abc import Callable

import gevent

from mountladder.clocks.clock import MIN_DELAY_MS, Clock
from mountladder.configuration.backendserver import BackendServer
from mountladder.continuation.continuations import Continuations
from mountladder.forwarding.route import Route
from mountladder.forwarding.serverloss import LOST_MS


class ServerWatch:
    """Breaks the connection to the server of a stream once the server is lost.

    The connection is kept if the stream may not continue elsewhere, since the server may only be
    silent for a moment.

    Args:
        server: The server that runs the stream.
        admit: Returns whether the stream may continue elsewhere if the server is lost for a reason.
        route: The route of the stream.
        streams: The streams of this instance that can continue.
        clock: The clock.

    Attributes:
        break_connection: Breaks the connection to the server, so that reading its answer fails; or
            None while there is no connection to watch.
        cancel_check: Cancels the next check.
        last_event_at: When the last event arrived, or the request was sent.
        reason: Why the connection was broken, or an empty string.
    """

    def __init__(
        self,
        server: BackendServer,
        admit: Callable[[str], bool],
        route: Route,
        streams: Continuations,
        clock: Clock,
    ) -> None:
        self.server = server
        self.admit = admit
        self.streams = streams
        self.clock = clock
        self.max_silence_ms = route.max_silence_ms
        self.break_connection: Callable[[], None] | None = None
        self.cancel_check: Callable[[], None] = lambda: None
        self.last_event_at = clock.now()
        self.reason = ""

    def start(self, break_connection: Callable[[], None]) -> None:
        """Start to watch, given a function that breaks the connection."""
        self.break_connection = break_connection
        self.streams.watched.add(self)
        self.check_later(self.max_silence_ms)

    def stop(self) -> None:
        """Stop watching."""
        self.break_connection = None
        self.streams.watched.discard(self)
        self.cancel_check()

    def check_later(self, delay_ms: float) -> None:
        """Check after a delay in milliseconds whether the server has been silent for long."""
        self.cancel_check = self.clock.call_later(max(MIN_DELAY_MS, delay_ms), self.check_silence)

    def check_silence(self) -> None:
        """Probe the server if no event has arrived for long, otherwise check again later."""
        if self.break_connection is None:
            return
        remaining_ms = self.last_event_at + self.max_silence_ms - self.clock.now()
        if remaining_ms > 0:
            self.check_later(remaining_ms)
        else:
            gevent.spawn(self.probe)

    def probe(self) -> None:
        """Break the connection to the silent server if the server is lost.

        That is so if it refuses connections, or cannot be reached after a long silence either.
        """
        silent_since = self.last_event_at
        lost_at = silent_since + LOST_MS
        upstream = self.streams.upstream
        if self.clock.now() < lost_at:
            is_lost = upstream.refuses(self.server)
        else:
            is_lost = not upstream.reaches(self.server)
        if is_lost and self.last_event_at == silent_since:
            self.interrupt("the server is silent and cannot be reached")
        if self.break_connection is not None:
            lost_in_ms = lost_at - self.clock.now()
            is_soon = 0 < lost_in_ms < self.max_silence_ms
            self.check_later(lost_in_ms if is_soon else self.max_silence_ms)

    def interrupt(self, reason: str) -> None:
        """Break the connection to the server, if the stream may continue elsewhere."""
        if self.break_connection is None or not self.admit(reason):
            return
        break_connection = self.break_connection
        self.stop()
        self.reason = reason
        break_connection()
