# stagecall.py -- One attempt at a stage
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""One attempt at a stage."""

from __future__ import annotations

from dataclasses import dataclass

from mountladder.configuration.stage import Stage


@dataclass(frozen=True, slots=True)
class StageCall:
    """What a backend server is asked to do.

    Attributes:
        request: The request's id.
        attempt: The id of this attempt, which the answer must carry.
        stage: The stage.
        body: The input of the stage as JSON.
        deadline: When the answer must be whole, in the clock's milliseconds.
        priority: The urgency handed to engines; a lower number goes first.
        tokens_held: How many tokens of the stream the instance holds already.
        first_ms: How long the first token of a stream may take.
        stall_ms: The longest silence between tokens of a stream.
    """

    request: str
    attempt: str
    stage: Stage
    body: bytes
    deadline: float
    priority: int = 1
    tokens_held: int = 0
    first_ms: float = 5_000.0
    stall_ms: float = 1_000.0
