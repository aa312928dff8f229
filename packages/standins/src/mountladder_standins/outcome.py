# outcome.py -- The outcome of a request for its caller
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The outcome of a request for its caller."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Outcome:
    """What a caller got for one request.

    Attributes:
        result: The class of the result: "done", "not_run", "failed" or "unknown".
        code: The number of the error code; 0 if the result is "done".
        answer: The decoded JSON answer; empty unless the result is "done".
        tokens: The numbers of the streamed tokens, in order of arrival.
        took_ms: How long it took, in the clock's milliseconds.
        instance: The name of the instance that received the request.
    """

    result: str
    code: int
    answer: dict[str, object]
    tokens: tuple[int, ...]
    took_ms: float
    instance: str
