# outcome.py -- What a caller got
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""What a caller got."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Outcome:
    """What a caller got for one request.

    Attributes:
        result: The class of the result: "done", "not_run", "failed" or "unknown".
        code: The number of the code, 0 where it is done.
        answer: The whole answer as JSON, where it is done.
        tokens: The numbers of the tokens that were streamed, in order.
        took_ms: How long it took, in the clock's milliseconds.
        instance: The name of the instance that was asked.
    """

    result: str
    code: int
    answer: dict[str, object]
    tokens: tuple[int, ...]
    took_ms: float
    instance: str
