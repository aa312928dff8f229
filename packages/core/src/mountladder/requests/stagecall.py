# stagecall.py -- The call to a backend server for one attempt at a stage
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The call to a backend server for one attempt at a stage."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from mountladder.configuration.stage import Stage


@dataclass(frozen=True, slots=True)
class StageCall:
    """A call that asks a backend server to run one attempt at a stage.

    Attributes:
        request: The request's id.
        attempt: The id of this attempt, which the answer must repeat.
        stage: The stage.
        body: The input of the stage as JSON.
        deadline: When the answer must be complete, in the clock's milliseconds.
        priority: The urgency passed to engines; a lower number is served first.
        tokens_held: The number of tokens of the stream received by earlier attempts.
        first_token_timeout_ms: After how long without a result, or without the first token of a
            stream, the call is given up if that is allowed.
        stall_timeout_ms: The same between tokens of a stream.
        may_give_up: Returns whether the call may be given up before its deadline, as another
            attempt follows.
    """

    request: str
    attempt: str
    stage: Stage
    body: bytes
    deadline: float
    priority: int = 1
    tokens_held: int = 0
    first_token_timeout_ms: float = 5_000.0
    stall_timeout_ms: float = 1_000.0
    may_give_up: Callable[[], bool] = field(default=lambda: True, compare=False)
