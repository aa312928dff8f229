# piececall.py -- A call with pieces that an in-memory server received
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A call with pieces that an in-memory server received."""

from __future__ import annotations

from dataclasses import dataclass

from mountladder.forwarding.piece import Piece


@dataclass(frozen=True, slots=True)
class PieceCall:
    """A call with pieces that an in-memory server received.

    Attributes:
        server: The server's name.
        at: When it arrived, in the clock's milliseconds.
        pieces: The pieces.
    """

    server: str
    at: float
    pieces: tuple[Piece, ...]
