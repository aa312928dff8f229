# piecequeue.py -- Queue of the pieces that wait for servers of one stage service
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Queue of the pieces that wait for servers of one stage service."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Sequence

from mountladder.forwarding.backlog import rank, value_for_rank
from mountladder.forwarding.batchlimits import BatchLimits
from mountladder.forwarding.jobprogress import JobProgress
from mountladder.forwarding.piecefailure import PieceFailure
from mountladder.forwarding.pieceresult import PieceResult
from mountladder.quarantine.quarantine import Quarantine
from mountladder.routing.serverstate import ServerState

# A request of the next lower priority goes first only if it is due this much sooner, so that in an
# overload the more urgent requests are served: about half of the longest latency targets.
RANK_ADVANTAGE_MS = 1_200.0
# How long pieces wait for a server of the data centre that holds or needs their data, by their
# request's rank: a transfer between data centres costs about as much as the least urgent request is
# worth. They may also start this much later at the coordinator of that data centre.
LOCALITY_WAIT_MS = (150.0, 250.0, 500.0)
# Pieces with less time left than this many full calls (their own call, and about half of the one
# before it) don't wait for a server of that data centre: a late answer costs more than a transfer.
# Pieces that are late anyway can wait.
LOCALITY_SLACK_CALLS = 1.5
QueuedPiece = tuple[JobProgress, int]
SortKey = Callable[[QueuedPiece, float], tuple[bool, bool, int, float]]


class PieceQueue:
    """The waiting pieces of one service, in the order in which they are sent.

    Attributes:
        waiting: The pieces, each as the progress of its stage and its number in the stage.
    """

    def __init__(self) -> None:
        self.waiting: list[QueuedPiece] = []

    def __len__(self) -> int:
        """Return the number of waiting pieces."""
        return len(self.waiting)

    def add(self, progress: JobProgress) -> None:
        """Queue all pieces of a stage."""
        self.waiting += [(progress, fragment) for fragment in range(progress.job.pieces)]

    def requeue(self, waiting: QueuedPiece) -> None:
        """Queue a piece again; its next call fetches its inputs anew."""
        waiting[0].fetched.discard(waiting[1])
        self.waiting.append(waiting)

    def withdraw(self, progress: JobProgress) -> None:
        """Remove the pieces of a stage."""
        self.waiting = [one for one in self.waiting if one[0] is not progress]

    def take(self, batch: Sequence[QueuedPiece]) -> None:
        """Remove the pieces of a batch that is sent."""
        chosen = set(map(id, batch))
        self.waiting = [one for one in self.waiting if id(one) not in chosen]

    def count_by_priority(self, now: float) -> Counter[int]:
        """Return the number of waiting pieces by priority class; late pieces are in later ones."""
        return Counter(progress.job.priority_class(now) for progress, _ in self.waiting)

    def oldest(self, now: float) -> float:
        """Return when the longest-waiting piece was queued, or now if none waits."""
        return min((progress.since for progress, _ in self.waiting), default=now)

    def sort(
        self,
        now: float,
        arrange: Callable[[list[QueuedPiece], SortKey], list[QueuedPiece]] | None = None,
    ) -> None:
        """Sort the pieces into the order in which they are sent.

        Args:
            now: The clock's time.
            arrange: Returns the pieces in their order, given the sort key by rank and due time; see
                ServiceSharing. None for the order of that key.
        """
        if arrange is None:
            self.waiting.sort(key=lambda one: self.order(one, now))
        else:
            self.waiting = arrange(self.waiting, self.order)

    def order(self, waiting: QueuedPiece, now: float) -> tuple[bool, bool, int, float]:
        """Return the sort key of a piece.

        Stages that have results come first, as these take up memory until the stage is complete.
        """
        progress = waiting[0]
        job = progress.job
        late = job.gives_way(now)
        urgency = rank(job.urgency)
        return (
            not progress.results,
            late,
            job.late_group() if late else 0,
            job.due + RANK_ADVANTAGE_MS * urgency,
        )

    def drop_expired(self, now: float) -> None:
        """Settle the pieces whose deadline has passed, or that need no result any more."""
        self.drop_unbegun(now)
        late = [
            one for one in self.waiting if one[0].is_settled(one[1]) or one[0].job.deadline <= now
        ]
        if not late:
            return
        dropped = set(map(id, late))
        self.waiting = [one for one in self.waiting if id(one) not in dropped]
        for progress, fragment in late:
            progress.settle(fragment, PieceResult("", PieceFailure.LATE))

    def drop_quarantined(self, quarantine: Quarantine) -> None:
        """Settle the stages of requests that are quarantined for crashing servers."""
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
        """Settle the stages that were not begun by the time at which they are given up."""
        given_up = {
            id(progress): progress
            for progress, _ in self.waiting
            if not progress.begun and progress.job.give_up <= now
        }
        for progress in given_up.values():
            self.withdraw(progress)
            progress.settle(0, PieceResult("", PieceFailure.NOT_BEGUN))

    def choose(
        self,
        state: ServerState,
        used_bytes: float,
        served_datacentres: set[str],
        limits: BatchLimits,
        now: float,
        candidates: Sequence[QueuedPiece] | None = None,
    ) -> list[QueuedPiece]:
        """Return the first pieces that fit into a server's result memory and may run there.

        Args:
            state: The server.
            used_bytes: How many bytes of its result memory are in use.
            served_datacentres: The data centres that have usable servers.
            limits: The server's batch limits.
            now: The clock's time.
            candidates: The pieces to choose among, in their order; all waiting ones if None.
        """
        free_bytes = limits.result_memory_bytes - used_bytes
        batch: list[QueuedPiece] = []
        skipped: set[JobProgress] = set()
        for waiting in self.waiting if candidates is None else candidates:
            progress = waiting[0]
            size = progress.job.result_bytes
            begun = bool(progress.results) or any(progress is one for one, _ in batch)
            needed = size if begun or not used_bytes else size * progress.job.pieces
            may_run = progress not in skipped and self.may_run_at(
                progress, state, served_datacentres, limits, now
            )
            if not may_run or needed > free_bytes:
                skipped.add(progress)
                continue
            free_bytes -= size
            batch.append(waiting)
            if len(batch) == limits.pieces:
                break
        return batch

    def may_run_at(
        self,
        progress: JobProgress,
        state: ServerState,
        served_datacentres: set[str],
        limits: BatchLimits,
        now: float,
    ) -> bool:
        """Return whether pieces may run in a server's data centre rather than wait for another."""
        preferred = progress.job.datacentre
        if preferred in {"", state.server.datacentre} or preferred not in served_datacentres:
            return True
        remaining_ms = progress.job.due - now
        if limits.call_ms < remaining_ms < LOCALITY_SLACK_CALLS * limits.expected_ms(limits.pieces):
            return True
        return now - progress.since >= value_for_rank(LOCALITY_WAIT_MS, progress.job.urgency)


def isolate_suspects(batch: list[QueuedPiece], quarantine: Quarantine) -> list[QueuedPiece]:
    """Return the pieces of a batch that may share one call.

    After a first crash the pieces of a request still share calls: a server that crashes for reasons
    of its own breaks a call of several requests, and each would need a call of its own. After a
    second crash a request's pieces get calls of their own, one at a time, which shows which request
    is responsible.
    """
    if not quarantine.suspicions:
        return batch
    ready = [one for one in batch if not _must_wait(one, quarantine)]
    if not ready:
        return []
    first = ready[0][0].job.fingerprint
    if quarantine.needs_own_call(first):
        return [one for one in ready if one[0].job.fingerprint == first]
    return [one for one in ready if not quarantine.needs_own_call(one[0].job.fingerprint)]


def _must_wait(waiting: QueuedPiece, quarantine: Quarantine) -> bool:
    fingerprint = waiting[0].job.fingerprint
    return quarantine.needs_own_call(fingerprint) and quarantine.wait_ms(fingerprint) > 0
