# waitingstage.py -- The waiting pieces of one stage, and what their order depends on
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The waiting pieces of one stage, and what their order depends on."""

from __future__ import annotations

from mountladder.forwarding.backlog import rank
from mountladder.forwarding.jobprogress import JobProgress

Piece = tuple[JobProgress, int]
Key = tuple[bool, bool, int, int, float]


class WaitingStage:
    """The waiting pieces of one stage, and what their order depends on.

    Orders are computed by stage rather than by piece, as pieces of a stage are equal: several
    hundred pieces may wait when a server becomes free.

    Args:
        progress: The stage.

    Attributes:
        pieces: Its waiting pieces.
        rank: The rank of its request.
        begun: Whether it has results.
        in_time: Whether it is on time if it is sent with the next call.
        was_in_time: Whether it could be on time when it was queued.
        key: Its key in the order without floors and teams.
    """

    __slots__ = ("begun", "in_time", "key", "pieces", "progress", "rank", "was_in_time")

    def __init__(self, progress: JobProgress) -> None:
        self.progress = progress
        self.pieces: list[Piece] = []
        self.rank = rank(progress.job.urgency)
        self.begun = False
        self.in_time = False
        self.was_in_time = False
        self.key: Key = (True, True, 0, 0, 0.0)

    @property
    def place(self) -> tuple[bool, bool, int]:
        """Return whether it is late and whether it is critical, and its rank."""
        return self.key[1], self.key[2] < 0, self.rank
