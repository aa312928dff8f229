# stagetiming.py -- Server, duration and cost of a completed stage
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Server, duration and cost of a completed stage."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StageTiming:
    """The server, duration and cost of a completed stage.

    Attributes:
        stage: The stage's name.
        server: The name of the backend server that returned the result.
        attempts: The number of attempts.
        ms: The duration of the last attempt in milliseconds.
        cost: The cost of the last attempt, in the operator's unit.
    """

    stage: str
    server: str
    attempts: int
    ms: float
    cost: float
