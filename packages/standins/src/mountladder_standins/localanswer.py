# localanswer.py -- An answer of an in-memory backend server
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""An answer of an in-memory backend server."""

from __future__ import annotations

from collections.abc import Callable

from gevent.event import Event

from mountladder.clocks.clock import Clock
from mountladder.code import Code
from mountladder.errors import StageError
from mountladder.forwarding.upstreamanswer import UpstreamAnswer

SILENCE_POLL_MS = 10.0


class LocalAnswer(UpstreamAnswer):
    """An answer whose body arrives in parts, each after a pause.

    Args:
        clock: The clock.
        status: The HTTP status.
        signed: Whether it has the header that identifies the server.
        parts: The parts of the body.
        pause_ms: The pause before each part, in milliseconds.
        cut: Whether the connection breaks after the last part.
        has_crashed: Returns whether the server has crashed, which breaks all its connections.
        is_silent: Returns whether the server sends nothing more.

    Attributes:
        shut_down: Set when this side breaks the connection.
        closed: Whether it was closed.
    """

    def __init__(
        self,
        clock: Clock,
        status: int,
        signed: bool,
        parts: list[bytes],
        pause_ms: float = 0.0,
        cut: bool = False,
        has_crashed: Callable[[], bool] = lambda: False,
        is_silent: Callable[[], bool] = lambda: False,
    ) -> None:
        self.clock = clock
        self.status = status
        self.signed = signed
        self.headers = (("X-Server", "stand-in"),)
        self.load = None
        self.parts = parts
        self.pause_ms = pause_ms
        self.cut = cut
        self.has_crashed = has_crashed
        self.is_silent = is_silent
        self.shut_down = Event()
        self.closed = False

    def read(self, limit_ms: float, heard: Callable[[], None] = lambda: None) -> bytes:
        """Return the whole body; see UpstreamAnswer."""
        parts = []
        while part := self.read_some(limit_ms):
            heard()
            parts.append(part)
        return b"".join(parts)

    def read_some(self, limit_ms: float) -> bytes:
        """Return the next part; see UpstreamAnswer."""
        if self.parts:
            self.wait(limit_ms)
            if self.has_crashed():
                if self.ends_with_connection:
                    return b""
                raise StageError("the server has crashed", Code.STREAM_CUT)
            return self.parts.pop(0)
        if self.cut:
            raise StageError("the connection broke within the answer", Code.STREAM_CUT)
        return b""

    def wait(self, limit_ms: float) -> None:
        """Wait for the next part.

        Raises:
            StageError: It did not come in time, or this side has broken the connection.
        """
        until = self.clock.now() + limit_ms
        self.clock.wait(self.shut_down, self.pause_ms)
        while self.is_silent() and not self.shut_down.is_set() and self.clock.now() < until:
            self.clock.wait(self.shut_down, SILENCE_POLL_MS)
        if self.shut_down.is_set():
            raise StageError("the connection was shut down", Code.STREAM_CUT)
        if self.is_silent():
            raise StageError("no event in time", Code.STAGE_STALLED)

    def close(self) -> None:
        """Record that it was closed; see UpstreamAnswer."""
        self.closed = True
