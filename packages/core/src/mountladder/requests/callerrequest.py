# callerrequest.py -- A request as a caller sent it
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A request as a caller sent it."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A request before it is checked.

    Attributes:
        pipeline: The name of the pipeline.
        token: The team's token.
        input: The input as JSON.
        arrived: When it came in, in the clock's milliseconds.
        deadline_ms: How long it may take, or None for the pipeline's own deadline.
        key: The Idempotency-Key, or an empty string.
        idempotent: False where the caller marked it as non-idempotent.
        first: Whether the caller promises that it never sent this key before.
    """

    pipeline: str
    token: str
    input: bytes
    arrived: float
    deadline_ms: float | None = None
    key: str = ""
    idempotent: bool = True
    first: bool = False
