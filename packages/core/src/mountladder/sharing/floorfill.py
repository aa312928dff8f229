# floorfill.py -- Puts pieces of ranks that are behind their floor first
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Puts pieces of ranks that are behind their floor first."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Iterable

from mountladder.sharing.piecerun import PieceRun
from mountladder.sharing.rankfloors import RankFloors
from mountladder.sharing.waitingstage import Piece, WaitingStage


class FloorFill:
    """Fills the next calls so that each rank gets its floor of every first part of the order.

    A floor is filled with pieces that can be on time, then with those that became late while they
    waited. Late pieces do not count against what pieces that can be on time are guaranteed, so that
    a rank is not kept at its floor by pieces that are late anyway. Stages that were late on arrival
    use no floor.

    Args:
        floors: The floors, and what was sent of late.
        runs: The pieces in the order to fill the calls from; begun stages come first.
    """

    def __init__(self, floors: RankFloors, runs: Iterable[PieceRun]) -> None:
        self.floors = floors
        self.total = floors.total_sent()
        self.sent = Counter(floors.sent)
        self.sent_late = Counter(floors.sent_late)
        self.runs = deque(runs)
        self.in_time: dict[int, deque[PieceRun]] = {}
        self.late: dict[int, deque[PieceRun]] = {}
        for run in self.runs:
            if run.stage.in_time:
                self.in_time.setdefault(run.stage.rank, deque()).append(run)
            elif run.stage.was_in_time:
                self.late.setdefault(run.stage.rank, deque()).append(run)

    def fill(self, positions: int) -> list[Piece]:
        """Return the pieces in their new order.

        Args:
            positions: The number of pieces that the next calls can hold.
        """
        placed: list[Piece] = []
        while len(placed) < positions:
            run = _first(self.runs)
            if run is None:
                break
            if not run.stage.begun:
                run = self.behind() or run
            placed += run.take()
            self.count(run.stage)
        for run in self.runs:
            placed += run.take(run.remaining())
        return placed

    def count(self, stage: WaitingStage) -> None:
        """Count a piece that is placed as sent."""
        self.total += 1
        (self.sent if stage.in_time else self.sent_late)[stage.rank] += 1

    def behind(self) -> PieceRun | None:
        """Return the first pieces of the most urgent rank that is behind its floor, or None."""
        for rank, fraction in self.floors.fractions.items():
            guaranteed = fraction * (self.total + 1)
            if self.sent[rank] >= guaranteed:
                continue
            run = _first(self.in_time.get(rank))
            if run is None and self.sent[rank] + self.sent_late[rank] < guaranteed:
                run = _first(self.late.get(rank))
            if run is not None:
                return run
        return None


def _first(runs: deque[PieceRun] | None) -> PieceRun | None:
    while runs and not runs[0].remaining():
        runs.popleft()
    return runs[0] if runs else None
