# stagetiming.py -- Where and how long a stage ran
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Where and how long a stage ran."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StageTiming:
    """Where a stage ran in the end and how long it took.

    Attributes:
        stage: The stage's name.
        server: The backend server that gave the result.
        attempts: How many attempts it took.
        ms: The time of the last attempt in milliseconds.
        cost: What the last attempt cost.
    """

    stage: str
    server: str
    attempts: int
    ms: float
    cost: float
