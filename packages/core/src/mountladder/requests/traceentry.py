# traceentry.py -- One thing that happened to a request
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""One thing that happened to a request."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TraceEntry:
    """One thing that happened to a request.

    Attributes:
        at_ms: When, in milliseconds after the request came in.
        event: What happened, such as "sent", "answered" or "failed".
        stage: The stage, or an empty string.
        attempt: The attempt's id, or an empty string.
        server: The backend server, or an empty string.
        code: The number of a result code, or 0.
        reason: Why, in words.
    """

    at_ms: float
    event: str
    stage: str = ""
    attempt: str = ""
    server: str = ""
    code: int = 0
    reason: str = ""
