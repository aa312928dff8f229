# stageoutcome.py -- What became of a stage of a request
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""What became of a stage of a request."""

from __future__ import annotations

from dataclasses import dataclass

from mountladder.forwarding.backlog import Backlog
from mountladder.forwarding.pieceresult import PieceResult


@dataclass(frozen=True, slots=True)
class StageOutcome:
    """What became of a stage of a request.

    Attributes:
        number: The number of the order, given by the instance that sent it.
        results: The results of its pieces, in their order.
        backlog: How long pieces of the service wait now.
    """

    number: int
    results: tuple[PieceResult, ...]
    backlog: Backlog
