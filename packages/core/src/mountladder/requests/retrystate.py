# retrystate.py -- Retry state of one stage of one request
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Retry state of one stage of one request."""

from __future__ import annotations

from mountladder.configuration.stage import Stage


class RetryState:
    """Counts the attempts at a stage and remembers the servers that failed.

    Args:
        stage: The stage.
        body: The body of its calls.
        started: When the stage started, in the clock's milliseconds.

    Attributes:
        count: The number of attempts started.
        failed: The names of the servers that failed.
        tokens: The number of tokens of its stream received.
        version: The software version of the server that sent the first token, or None before it.
        is_admitted: Whether the retry budget has allowed the next attempt.
    """

    def __init__(self, stage: Stage, body: bytes, started: float) -> None:
        self.stage = stage
        self.body = body
        self.started = started
        self.count = 0
        self.failed: frozenset[str] = frozenset()
        self.tokens = 0
        self.version: str | None = None
        self.is_admitted = False
