# traceentry.py -- One event in the trace of a request
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""One event in the trace of a request."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TraceEntry:
    """One event in the trace of a request.

    Attributes:
        at_ms: The time since the request was received, in milliseconds.
        event: The event, such as "sent", "answered" or "failed".
        stage: The stage, or an empty string.
        attempt: The attempt's id, or an empty string.
        server: The backend server, or an empty string.
        code: The number of a result code, or 0.
        reason: The reason, as text.
    """

    at_ms: float
    event: str
    stage: str = ""
    attempt: str = ""
    server: str = ""
    code: int = 0
    reason: str = ""
