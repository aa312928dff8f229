# callrecord.py -- One call of a fault run
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""One call of a fault run."""

from __future__ import annotations

from dataclasses import dataclass

from mountladder_standins.outcome import Outcome


@dataclass(frozen=True, slots=True)
class CallRecord:
    """One call of a caller and what came of it.

    Attributes:
        label: What the input names; calls with one key share it.
        input_hash: The hash of the input by which stand-ins name it.
        pipeline: The pipeline.
        key: The Idempotency-Key, or an empty string.
        tokens: How many tokens were asked for.
        started: When it was sent, in the clock's milliseconds.
        deadline_ms: How long it may take.
        ended: When the caller got its outcome.
        outcome: What the caller got, or None where the instance died first.
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
