# pace.py -- Measures the time between the tokens of a running stream
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Measures the time between the tokens of a running stream."""

from __future__ import annotations

from mountladder.requests.attempt import Attempt
from mountladder.requests.chunk import Chunk
from mountladder.requests.runcontext import RunContext

TOLD_EVERY_MS = 100.0


class Pace:
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
        self.since: float | None = None
        self.tokens = 0

    def take(self, chunk: Chunk) -> None:
        """Count a chunk's tokens; the first chunk only starts the measurement."""
        now = self.context.clock.now()
        if self.since is None:
            self.since = now
            return
        self.tokens += chunk.count
        passed = now - self.since
        if passed >= TOLD_EVERY_MS:
            stage = self.attempt.call.stage
            self.context.router.paced(self.attempt.choice, stage, passed / self.tokens)
            self.since, self.tokens = now, 0
