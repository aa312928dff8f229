# callrecord.py -- A call of a fault run and its outcome
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A call of a fault run and its outcome."""

from __future__ import annotations

from dataclasses import dataclass

from mountladder_standins.outcome import Outcome


@dataclass(frozen=True, slots=True)
class CallRecord:
    """One call of a caller and its outcome.

    Attributes:
        label: The name in the input; repeats of a call share it.
        input_hash: The hash of the input that stand-ins record.
        pipeline: The pipeline.
        key: The Idempotency-Key, or an empty string.
        tokens: How many tokens were requested.
        started: When it was sent, in the clock's milliseconds.
        deadline_ms: How long it may take.
        ended: When the caller got its outcome, in the clock's milliseconds.
        outcome: What the caller got, or None if the instance was killed before.
    """

    label: str
    input_hash: str
    pipeline: str
    key: str
    tokens: int
    started: float
    deadline_ms: float
    ended: float
    outcome: Outcome | None
