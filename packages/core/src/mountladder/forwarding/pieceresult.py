# pieceresult.py -- What became of a piece
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""What became of a piece."""

from __future__ import annotations

from dataclasses import dataclass

from mountladder.forwarding.piecefailure import PieceFailure


@dataclass(frozen=True, slots=True)
class PieceResult:
    """What became of a piece.

    Attributes:
        handle: Where its result lies, or an empty string where there is none.
        failure: Why there is none, or None.
        datacentre: Where its result lies.
    """

    handle: str
    failure: PieceFailure | None = None
    datacentre: str = ""
