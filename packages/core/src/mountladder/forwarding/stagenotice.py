# stagenotice.py -- Message that announces pieces to a stage service
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Message that announces pieces to a stage service."""

from __future__ import annotations

from dataclasses import dataclass

from mountladder.admission.attemptkind import AttemptKind


@dataclass(frozen=True, slots=True)
class StageNotice:
    """Announces pieces that arrive once the stages before them are done.

    Attributes:
        request: The caller's id of the request.
        stage: The number of the stage in the request's route.
        service: The service.
        pieces: The number of pieces, or 0 to withdraw the announcement.
        urgency: The rank of the request.
        gives_way: Whether it can't be on time and its pieces are queued behind all that can.
        attempt: Whether it returns after a refusal.
    """

    request: str
    stage: int
    service: str
    pieces: int
    urgency: int
    gives_way: bool = False
    attempt: AttemptKind = AttemptKind.FIRST
