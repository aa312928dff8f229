# relayedlocalanswer.py -- The answer of an in-process instance to a relayed request
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The answer of an in-process instance to a relayed request."""

from __future__ import annotations

from collections.abc import Callable

from mountladder.code import Code
from mountladder.errors import RunError, StageError
from mountladder.forwarding.forwardanswer import ForwardAnswer
from mountladder.forwarding.upstreamanswer import UpstreamAnswer


class RelayedLocalAnswer(UpstreamAnswer):
    """The answer of an instance in this process to a relayed request.

    Args:
        answer: The answer.
        signed: Whether it is a server's answer.
    """

    def __init__(self, answer: ForwardAnswer, signed: bool) -> None:
        self.status = answer.status
        self.headers = answer.headers
        self.signed = signed
        self.load = None
        self.body = answer.body
        self.parts = iter([answer.body] if isinstance(answer.body, bytes) else answer.body)

    def read(self, limit_ms: float, on_part: Callable[[], None] = lambda: None) -> bytes:
        """Return the whole body; see UpstreamAnswer."""
        parts = []
        while part := self.read_some(limit_ms):
            parts.append(part)
            on_part()
        return b"".join(parts)

    def read_some(self, limit_ms: float) -> bytes:
        """Return the next part of the body; see UpstreamAnswer."""
        try:
            return next(self.parts, b"")
        except RunError as error:
            raise StageError(error.detail, Code.STREAM_CUT) from error

    def close(self) -> None:
        """Close the answer; see UpstreamAnswer."""
        if not isinstance(self.body, bytes):
            self.body.close()
