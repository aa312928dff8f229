# stagenotice.py -- Pieces that will come to a stage service
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Pieces that will come to a stage service."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StageNotice:
    """Pieces that will come once the stages before them are done.

    Attributes:
        request: The caller's id of the request.
        stage: The number of the stage in the request's route.
        service: The service.
        pieces: How many pieces, or 0 where they will not come after all.
        urgency: The rank of the request.
        gives_way: Whether it cannot be on time and gives way to all that can.
    """

    request: str
    stage: int
    service: str
    pieces: int
    urgency: int
    gives_way: bool = False
