# piecefailure.py -- Why a piece has no result
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Why a piece has no result."""

from __future__ import annotations

from enum import Enum


class PieceFailure(Enum):
    """Why a piece has no result."""

    LATE = "late"
    INPUT_GONE = "input gone"
    NO_ROOM = "no room"
    FAILED = "failed"
    NOT_BEGUN = "not begun"
    QUARANTINED = "servers ended under it"
