# callerrequest.py -- A caller's request before it is validated
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A caller's request before it is validated."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A caller's request before it is validated.

    Attributes:
        pipeline: The name of the pipeline.
        token: The team's token.
        input: The input as JSON.
        arrived: When it was received, in the clock's milliseconds.
        deadline_ms: The time limit from its arrival, or None for the pipeline's default.
        key: The Idempotency-Key, or an empty string.
        idempotent: False if the caller marked it as non-idempotent.
        first: Whether the caller asserts that it never sent this key before.
    """

    pipeline: str
    token: str
    input: bytes
    arrived: float
    deadline_ms: float | None = None
    key: str = ""
    idempotent: bool = True
    first: bool = False
