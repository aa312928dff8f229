# piece.py -- A piece of a stage
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A piece of a stage."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Piece:
    """A piece of a stage of a request, the unit that servers of stage services work on.

    Attributes:
        request: The caller's id of the request.
        stage: The number of the stage in the request's route.
        fragment: The number of the piece in its stage.
        key: What it works on, at stages that need no results of others.
        inputs: The handles of all results it needs, at other stages.
        deadline: When it is of no use any more, in the clock's milliseconds.
    """

    request: str
    stage: int
    fragment: int
    key: str
    inputs: tuple[str, ...]
    deadline: float
