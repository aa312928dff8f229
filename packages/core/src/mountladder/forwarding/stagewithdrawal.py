# stagewithdrawal.py -- Message that withdraws a stage that was handed over
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Message that withdraws a stage that was handed over."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StageWithdrawal:
    """Withdraws a stage whose results are no longer needed.

    Attributes:
        number: The number of the stage's order.
    """

    number: int
