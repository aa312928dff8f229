# piecerun.py -- Consecutive pieces of one stage in the order of calls
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Consecutive pieces of one stage in the order of calls."""

from __future__ import annotations

from mountladder.sharing.waitingstage import Piece, WaitingStage


class PieceRun:
    """Consecutive pieces of one stage in the order of calls.

    Args:
        stage: The stage.
        pieces: The pieces.

    Attributes:
        taken: How many of the pieces were taken, from the first on.
    """

    __slots__ = ("pieces", "stage", "taken")

    def __init__(self, stage: WaitingStage, pieces: list[Piece]) -> None:
        self.stage = stage
        self.pieces = pieces
        self.taken = 0

    def remaining(self) -> int:
        """Return the number of pieces that were not taken."""
        return len(self.pieces) - self.taken

    def take(self, number: int = 1) -> list[Piece]:
        """Take up to a number of the remaining pieces."""
        pieces = self.pieces[self.taken : self.taken + number]
        self.taken += len(pieces)
        return pieces
