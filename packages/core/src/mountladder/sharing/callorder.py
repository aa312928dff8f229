# callorder.py -- Which waiting pieces go into the next calls of a stage service
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Which waiting pieces go into the next calls of a stage service."""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from itertools import chain

from mountladder.sharing.arrangement import Arrangement
from mountladder.sharing.floorfill import FloorFill
from mountladder.sharing.piecerun import PieceRun
from mountladder.sharing.rankfloors import RankFloors
from mountladder.sharing.waitingstage import Piece, WaitingStage

BaseKey = Callable[[Piece, float], tuple[bool, bool, int, float]]
# The group of critical pieces within those that are not late; it is below all groups of BaseKey.
CRITICAL_GROUP = -1


@dataclass(frozen=True, slots=True)
class CallOrder:
    """Decides which waiting pieces go into the next calls of a stage service.

    Handles a service at its bottleneck, where more pieces are due than fit into the next calls.

    Attributes:
        now: The time, in the clock's milliseconds.
        next_call_ms: The expected time of the next call with what waits, in milliseconds.
        full_call_ms: The expected time of a full call, in milliseconds.
        positions: The number of pieces that the next calls can hold.
        floors: The floors of the ranks, or None without overload.
        excess_teams: The teams over their share; none without overload.
    """

    now: float
    next_call_ms: float
    full_call_ms: float
    positions: int
    floors: RankFloors | None = None
    excess_teams: frozenset[str] = frozenset()

    def arrange(self, stages: Iterable[WaitingStage], base_key: BaseKey) -> Arrangement:
        """Return the pieces in the order of the next calls.

        Args:
            stages: The stages that wait.
            base_key: Returns the sort key of a piece by rank and due time.
        """
        ordered = sorted(stages, key=lambda one: self.key(one, base_key))
        runs = [PieceRun(one, one.pieces) for one in ordered]
        before = shared = filled = list(chain.from_iterable(one.pieces for one in ordered))
        if self.excess_teams:
            runs = self.share_teams(runs)
            shared = filled = list(chain.from_iterable(one.pieces for one in runs))
        if self.floors is not None:
            filled = FloorFill(self.floors, runs).fill(self.positions)
        return Arrangement(
            filled,
            self.entered(shared, filled),
            self.entered(before, shared),
            self.floors,
            self.excess_teams,
        )

    def key(self, stage: WaitingStage, base_key: BaseKey) -> tuple[bool, bool, int, int, float]:
        """Set what the order of a stage depends on, and return its sort key."""
        job = stage.progress.job
        first, late, group, due = base_key((stage.progress, 0), self.now)
        stage.begun = not first
        stage.in_time = self.is_in_time(job.due)
        stage.was_in_time = job.due >= stage.progress.since
        stage.key = (first, late, group, 0, due)
        if stage.in_time and self.is_critical(job.due):
            stage.key = (first, False, CRITICAL_GROUP, stage.rank, job.due)
        return stage.key

    def is_in_time(self, due: float) -> bool:
        """Return whether a piece is done by its due time if it is sent with the next call."""
        return due >= self.now + self.next_call_ms

    def is_critical(self, due: float) -> bool:
        """Return whether a piece would miss its due time by waiting for one more full call."""
        return due < self.now + self.full_call_ms + self.next_call_ms

    def share_teams(self, runs: list[PieceRun]) -> list[PieceRun]:
        """Put the pieces of teams over their share behind the others of their rank.

        Each rank keeps its places in the order, so that only teams of the same rank change places.
        Critical pieces stay before those that can wait, which lose nothing by waiting.
        """
        queues: dict[tuple[bool, bool, int], deque[PieceRun]] = defaultdict(deque)
        waiting = [one for one in runs if not one.stage.begun]
        for run in sorted(waiting, key=self.is_over_share):
            queues[run.stage.place].append(run)
        shared = [one for one in runs if one.stage.begun]
        for run in waiting:
            queue, places = queues[run.stage.place], len(run.pieces)
            while places:
                pieces = queue[0].take(places)
                shared.append(PieceRun(queue[0].stage, pieces))
                places -= len(pieces)
                if not queue[0].remaining():
                    queue.popleft()
        return shared

    def is_over_share(self, run: PieceRun) -> bool:
        """Return whether pieces belong to a team over its share."""
        return run.stage.progress.job.team in self.excess_teams

    def entered(self, before: list[Piece], after: list[Piece]) -> frozenset[int]:
        """Return the ids of the pieces that the next calls hold after a change, but not before."""
        if before is after:
            return frozenset()
        return frozenset(map(id, after[: self.positions])) - set(map(id, before[: self.positions]))
