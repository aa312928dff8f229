# tokeninterval.py -- Measures the time between the tokens of a running stream
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Measures the time between the tokens of a running stream."""

from __future__ import annotations

from mountladder.requests.attempt import Attempt
from mountladder.requests.chunk import Chunk
from mountladder.requests.runcontext import RunContext

REPORT_INTERVAL_MS = 100.0


class TokenInterval:
    """Measures the mean time between a stream's tokens and reports it to the router.

    The interval shows the server's present load long before the stream ends, and without the
    delay of load reports.

    Args:
        context: The dependencies that all runs share.
        attempt: The attempt whose stream is measured.
    """

    def __init__(self, context: RunContext, attempt: Attempt) -> None:
        self.context = context
        self.attempt = attempt
        self.started_at: float | None = None
        self.tokens = 0

    def add(self, chunk: Chunk) -> None:
        """Count a chunk's tokens; the first chunk only starts the measurement."""
        now = self.context.clock.now()
        if self.started_at is None:
            self.started_at = now
            return
        self.tokens += chunk.count
        elapsed_ms = now - self.started_at
        if elapsed_ms >= REPORT_INTERVAL_MS:
            stage = self.attempt.call.stage
            self.context.router.record_token_interval(
                self.attempt.choice, stage, elapsed_ms / self.tokens
            )
            self.started_at, self.tokens = now, 0
