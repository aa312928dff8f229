# localanswer.py -- An answer of an in-memory backend server
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""An answer of an in-memory backend server."""

from __future__ import annotations

from collections.abc import Callable

from mountladder.clocks.clock import Clock
from mountladder.code import Code
from mountladder.errors import StageError
from mountladder.forwarding.upstreamanswer import UpstreamAnswer


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

    Attributes:
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
        self.closed = False

    def read(self, limit_ms: float) -> bytes:
        """Return the whole body; see UpstreamAnswer."""
        parts = []
        while part := self.read_some(limit_ms):
            parts.append(part)
        return b"".join(parts)

    def read_some(self, limit_ms: float) -> bytes:
        """Return the next part; see UpstreamAnswer."""
        if self.parts:
            self.clock.sleep(self.pause_ms)
            if self.has_crashed():
                raise StageError("the server has crashed", Code.STREAM_CUT)
            return self.parts.pop(0)
        if self.cut:
            raise StageError("the connection broke within the answer", Code.STREAM_CUT)
        return b""

    def close(self) -> None:
        """Record that it was closed; see UpstreamAnswer."""
        self.closed = True
