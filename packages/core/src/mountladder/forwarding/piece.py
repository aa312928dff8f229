# piece.py -- One piece of a stage, the unit of a batch
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""One piece of a stage, the unit of a batch."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Piece:
    """One piece of a stage of a request, the unit that servers of stage services run in batches.

    Attributes:
        request: The caller's id of the request.
        stage: The number of the stage in the request's route.
        fragment: The number of the piece in its stage.
        key: The input of a stage that depends on no other stage.
        inputs: The handles of the results it needs, if its stage depends on others.
        deadline: When its result is no longer useful, in the clock's milliseconds.
    """

    request: str
    stage: int
    fragment: int
    key: str
    inputs: tuple[str, ...]
    deadline: float
