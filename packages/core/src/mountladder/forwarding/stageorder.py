# stageorder.py -- Message that hands a stage over to another instance
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Message that hands a stage over to another instance."""

from __future__ import annotations

from dataclasses import dataclass

from mountladder.forwarding.stagejob import StageJob


@dataclass(frozen=True, slots=True)
class StageOrder:
    """Hands a stage over to the coordinator of its service.

    Attributes:
        number: The sender's number of the stage, which its outcome or withdrawal repeats.
        job: The pieces; their times are relative to the time of sending.
        lent: Whether the coordinator of another data centre sent it; it must not be lent again.
    """

    number: int
    job: StageJob
    lent: bool = False
