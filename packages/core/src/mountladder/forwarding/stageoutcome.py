# stageoutcome.py -- Message with the results of a stage that was handed over
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Message with the results of a stage that was handed over."""

from __future__ import annotations

from dataclasses import dataclass

from mountladder.forwarding.backlog import Backlog
from mountladder.forwarding.pieceresult import PieceResult


@dataclass(frozen=True, slots=True)
class StageOutcome:
    """Returns the results of a stage to the instance that handed it over.

    Attributes:
        number: The number of the stage's order, assigned by the instance that sent it.
        results: The results of its pieces, in their order.
        backlog: The current backlog of the service.
    """

    number: int
    results: tuple[PieceResult, ...]
    backlog: Backlog
