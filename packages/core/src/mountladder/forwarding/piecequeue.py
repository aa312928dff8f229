# piecequeue.py -- The pieces of one service that wait
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The pieces of one service that wait."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence

from mountladder.forwarding.backlog import by_rank, rank
from mountladder.forwarding.batchlimits import BatchLimits
from mountladder.forwarding.jobprogress import JobProgress
from mountladder.forwarding.piecefailure import PieceFailure
from mountladder.forwarding.pieceresult import PieceResult
from mountladder.quarantine.quarantine import Quarantine
from mountladder.routing.serverstate import ServerState

# A request of the next rank goes first only if it is due this much sooner, so that when there is
# not enough for all, those served are the more urgent ones: about half of the longest aims.
RANK_MS = 1_200.0
# How long pieces wait for a server of the data centre where their bytes lie or are needed, by the
# rank of their request: what crosses costs about as much as the least urgent request is worth. As
# much later may they begin at the place of that data centre.
FAR_PATIENCE_MS = (150.0, 250.0, 500.0)
# Pieces with less time left than so many full calls do not wait for a near server: their own call
# and about half of one that must end first. A late answer costs more than its bytes, while one
# that is late anyway can wait.
FAR_SLACK = 1.5
Waiting = tuple[JobProgress, int]


class PieceQueue:
    """The pieces of one service that wait, those first that are to be sent first.

    Attributes:
        waiting: The pieces, each as its stage's progress and its number in the stage.
    """

    def __init__(self) -> None:
        self.waiting: list[Waiting] = []

    def __len__(self) -> int:
        """Return how many pieces wait."""
        return len(self.waiting)

    def add(self, progress: JobProgress) -> None:
        """Let all pieces of a stage wait."""
        self.waiting += [(progress, fragment) for fragment in range(progress.job.pieces)]

    def add_again(self, waiting: Waiting) -> None:
        """Let a piece wait once more."""
        self.waiting.append(waiting)

    def withdraw(self, progress: JobProgress) -> None:
        """Drop the pieces of a stage."""
        self.waiting = [one for one in self.waiting if one[0] is not progress]

    def take(self, batch: Sequence[Waiting]) -> None:
        """Take pieces out that are being sent."""
        chosen = set(map(id, batch))
        self.waiting = [one for one in self.waiting if id(one) not in chosen]

    def by_place(self, now: float) -> Counter[int]:
        """Return how many pieces wait, by their place; new ones go before those that are late."""
        return Counter(progress.job.place(now) for progress, _ in self.waiting)

    def oldest(self, now: float) -> float:
        """Return since when the piece has waited that has waited longest; now where none waits."""
        return min((progress.since for progress, _ in self.waiting), default=now)

    def sort(self, now: float) -> None:
        """Put the pieces first that are to be sent first."""
        self.waiting.sort(key=lambda one: self.order(one, now))

    def order(self, waiting: Waiting, now: float) -> tuple[bool, bool, int, float]:
        """Return the sort key by which pieces are sent.

        A stage that is begun goes first, since its results take room until all of them are there.
        """
        progress = waiting[0]
        job = progress.job
        late = job.gives_way(now)
        urgency = rank(job.urgency)
        return not progress.results, late, urgency if late else 0, job.due + RANK_MS * urgency

    def drop_late(self, now: float) -> None:
        """Settle pieces that are of no use any more."""
        self.drop_unbegun(now)
        late = [one for one in self.waiting if one[0].has(one[1]) or one[0].job.deadline <= now]
        if not late:
            return
        dropped = set(map(id, late))
        self.waiting = [one for one in self.waiting if id(one) not in dropped]
        for progress, fragment in late:
            progress.settle(fragment, PieceResult("", PieceFailure.LATE))

    def drop_barred(self, quarantine: Quarantine) -> None:
        """Settle the pieces under which servers have ended too often."""
        if not quarantine.suspicions:
            return
        barred = {
            id(progress): (progress, fragment)
            for progress, fragment in self.waiting
            if quarantine.is_barred(progress.job.fingerprint)
        }
        for progress, fragment in barred.values():
            self.withdraw(progress)
            progress.settle(fragment, PieceResult("", PieceFailure.QUARANTINED))

    def drop_unbegun(self, now: float) -> None:
        """Give up stages of which nothing is begun when their callers were promised more."""
        hopeless = {
            id(progress): progress
            for progress, _ in self.waiting
            if not progress.begun and progress.job.give_up <= now
        }
        for progress in hopeless.values():
            self.withdraw(progress)
            progress.settle(0, PieceResult("", PieceFailure.NOT_BEGUN))

    def choose(
        self,
        state: ServerState,
        used: float,
        manned: set[str],
        limits: BatchLimits,
        now: float,
    ) -> list[Waiting]:
        """Return the first pieces that a server has room for and that may be made there.

        Args:
            state: The server.
            used: How many bytes of its room for results are in use.
            manned: The data centres that have servers in use.
            limits: What a server takes at once.
            now: The clock's time.
        """
        room = limits.room_bytes - used
        batch: list[Waiting] = []
        left_out: set[JobProgress] = set()
        for waiting in self.waiting:
            progress = waiting[0]
            size = progress.job.result_bytes
            begun = bool(progress.results) or any(progress is one for one, _ in batch)
            needed = size if begun or not used else size * progress.job.pieces
            goes = progress not in left_out and self.may_go(progress, state, manned, limits, now)
            if not goes or needed > room:
                left_out.add(progress)
                continue
            room -= size
            batch.append(waiting)
            if len(batch) == limits.pieces:
                break
        return batch

    def may_go(
        self,
        progress: JobProgress,
        state: ServerState,
        manned: set[str],
        limits: BatchLimits,
        now: float,
    ) -> bool:
        """Tell whether pieces may be made in a server's data centre, or wait for another one."""
        wanted = progress.job.datacentre
        if wanted in {"", state.server.datacentre} or wanted not in manned:
            return True
        left_ms = progress.job.due - now
        if limits.call_ms < left_ms < FAR_SLACK * limits.expected_ms(limits.pieces):
            return True
        return now - progress.since >= by_rank(FAR_PATIENCE_MS, progress.job.urgency)


def apart(batch: list[Waiting], quarantine: Quarantine) -> list[Waiting]:
    """Return those of some pieces that may go in one call.

    After a first end they travel as before: a server that crashes by itself leaves a call of
    several requests, which would each take one of their own. After a second one they go alone, so
    that it shows which of them is to blame, and only while nothing else of it is under way.
    """
    if not quarantine.suspicions:
        return batch
    ready = [one for one in batch if not _waits(one, quarantine)]
    if not ready:
        return []
    first = ready[0][0].job.fingerprint
    if quarantine.needs_own_call(first):
        return [one for one in ready if one[0].job.fingerprint == first]
    return [one for one in ready if not quarantine.needs_own_call(one[0].job.fingerprint)]


def _waits(waiting: Waiting, quarantine: Quarantine) -> bool:
    fingerprint = waiting[0].job.fingerprint
    return quarantine.needs_own_call(fingerprint) and quarantine.wait_ms(fingerprint) > 0
