# pieceresult.py -- Result of one piece, or the reason why there is none
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Result of one piece, or the reason why there is none."""

from __future__ import annotations

from dataclasses import dataclass

from mountladder.forwarding.piecefailure import PieceFailure


@dataclass(frozen=True, slots=True)
class PieceResult:
    """Result of one piece, or the reason why there is none.

    Attributes:
        handle: Identifies the stored result; empty if there is none.
        failure: Why there is no result, or None.
        datacentre: The data centre that stores the result.
    """

    handle: str
    failure: PieceFailure | None = None
    datacentre: str = ""
