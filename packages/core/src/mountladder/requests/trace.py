# trace.py -- Trace of the events of one request
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Trace of the events of one request."""

from __future__ import annotations

from eliot import log_message

from mountladder.clocks.clock import Clock
from mountladder.requests.traceentry import TraceEntry


class Trace:
    """Records the events of a request, for the explain command and the log.

    Args:
        request: The request's id.
        clock: The clock.
        revision: The configuration revision that the request runs under.
    """

    def __init__(self, request: str, clock: Clock, revision: int) -> None:
        self.request = request
        self.clock = clock
        self.revision = revision
        self.started = clock.now()
        self.entries: list[TraceEntry] = []

    def add(
        self,
        event: str,
        stage: str = "",
        attempt: str = "",
        server: str = "",
        code: int = 0,
        reason: str = "",
    ) -> None:
        """Record an event and log it."""
        at_ms = round(self.clock.now() - self.started, 1)
        self.entries.append(TraceEntry(at_ms, event, stage, attempt, server, code, reason))
        log_message(
            event,
            request=self.request,
            revision=self.revision,
            stage=stage,
            attempt=attempt,
            server=server,
            code=code,
            reason=reason,
        )
