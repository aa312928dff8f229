# piecefailure.py -- Reasons why a piece has no result
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Reasons why a piece has no result."""

from __future__ import annotations

from enum import Enum


class PieceFailure(Enum):
    """Reasons why a piece has no result.

    Attributes:
        LATE: Its deadline passed.
        INPUT_GONE: A result that it needs no longer exists.
        NO_ROOM: The server had no memory left for its result.
        FAILED: It failed on a server, or no retry was left.
        NOT_BEGUN: No piece of its stage was begun within the time that a request may wait.
        QUARANTINED: Too many servers crashed while they ran pieces of its request.
    """

    LATE = "late"
    INPUT_GONE = "input gone"
    NO_ROOM = "no room"
    FAILED = "failed"
    NOT_BEGUN = "not begun"
    QUARANTINED = "servers ended under it"
