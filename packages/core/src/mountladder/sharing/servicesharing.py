# servicesharing.py -- What ranks and teams had of one stage service, and the order that follows
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""What ranks and teams had of one stage service, and the order that follows."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence

from mountladder.forwarding.backlog import MAX_RANK, rank
from mountladder.forwarding.batchlimits import BatchLimits
from mountladder.forwarding.jobprogress import JobProgress
from mountladder.forwarding.stagejob import StageJob
from mountladder.metrics.metrics import Metrics
from mountladder.sharing.arrangement import Arrangement
from mountladder.sharing.callorder import BaseKey, CallOrder
from mountladder.sharing.decayedsums import DecayedSums
from mountladder.sharing.rankdemand import RankDemand
from mountladder.sharing.rankfloors import RankFloors, guaranteed_fractions
from mountladder.sharing.sharingreport import SharingReport
from mountladder.sharing.teamshares import TeamShares
from mountladder.sharing.waitingstage import Piece, WaitingStage

# Time over which arrivals and use are remembered: about six full calls of a server, so that a share
# consists of dozens of calls, and short against bursts of six seconds.
MEMORY_MS = 2_000.0
MAX_TEAMS = 256


class ServiceSharing:
    """What ranks and teams had of one stage service of late, and the order that follows from it.

    Args:
        service: The service.
        metrics: Counts the pieces that are sent earlier than by rank and due time alone.
    """

    def __init__(self, service: str, metrics: Metrics) -> None:
        self.demand = RankDemand(MEMORY_MS)
        self.sent: DecayedSums[int] = DecayedSums(MEMORY_MS, MAX_RANK + 1)
        self.sent_late: DecayedSums[int] = DecayedSums(MEMORY_MS, MAX_RANK + 1)
        self.used_ms: DecayedSums[str] = DecayedSums(MEMORY_MS, MAX_TEAMS)
        self.report = SharingReport(service, metrics)
        self.arrangement = Arrangement([])

    def record_arrival(self, job: StageJob, now: float) -> None:
        """Record that the pieces of a stage have arrived; late ones earn no floor."""
        if not job.gives_way(now):
            self.demand.record(rank(job.urgency), job.pieces, now)

    def record_refused(self, pieces: Sequence[int], now: float) -> None:
        """Record the pieces of refused requests, by rank, as demand for a floor."""
        for urgency, number in enumerate(pieces):
            if number:
                self.demand.record(rank(urgency), number, now)

    def record_call(self, batch: Sequence[Piece], limits: BatchLimits, now: float) -> None:
        """Record a call that is sent: its pieces by rank, and its time by team."""
        call_ms = limits.expected_ms(len(batch))
        piece_ms = call_ms / len(batch)
        for progress, pieces in Counter(one[0] for one in batch).items():
            job = progress.job
            sums = self.sent if job.due >= now + call_ms else self.sent_late
            sums.add(rank(job.urgency), pieces, now)
            self.used_ms.add(job.team, pieces * piece_ms, now)
        self.report.record(batch, self.arrangement, now)

    def floors(
        self,
        waiting: Mapping[int, int],
        now: float,
        onset_ms: float = 0.0,
        call_ms: float = 0.0,
    ) -> RankFloors:
        """Return the floors of the ranks.

        Args:
            waiting: The waiting pieces by priority class; late ones count for no floor.
            now: The clock's time.
            onset_ms: The time until they take effect, in milliseconds; 0 in an overload.
            call_ms: The expected time of a full call, in milliseconds.
        """
        in_time = {one: waiting[one] for one in waiting if one <= MAX_RANK}
        return RankFloors(
            guaranteed_fractions(self.demand.amounts(now), in_time),
            self.sent.sums(now),
            self.sent_late.sums(now),
            onset_ms,
            call_ms,
            MEMORY_MS,
        )

    def arrange(
        self,
        waiting: Sequence[Piece],
        base_key: BaseKey,
        limits: BatchLimits,
        free: int,
        congested: bool,
        now: float,
    ) -> list[Piece]:
        """Return the waiting pieces in the order of the next calls.

        Args:
            waiting: The pieces.
            base_key: Returns the sort key of a piece by rank and due time.
            limits: The batch limits of a server.
            free: The number of servers that can take a call now.
            congested: Whether pieces wait for longer than until the next server is free.
            now: The clock's time.
        """
        stages: dict[JobProgress, WaitingStage] = {}
        for one in waiting:
            stage = stages.get(one[0])
            if stage is None:
                stage = stages[one[0]] = WaitingStage(one[0])
            stage.pieces.append(one)
        floors, excess_teams = None, frozenset()
        if congested:
            floors = self.floors(_count_in_time(stages.values(), now), now)
            teams = {progress.job.team for progress in stages}
            excess_teams = TeamShares(self.used_ms.sums(now), teams).excess()
        order = CallOrder(
            now,
            limits.expected_ms(min(len(waiting), limits.pieces)),
            limits.expected_ms(limits.pieces),
            free * limits.pieces,
            floors,
            excess_teams,
        )
        self.arrangement = order.arrange(stages.values(), base_key)
        return self.arrangement.waiting


def _count_in_time(stages: Iterable[WaitingStage], now: float) -> Counter[int]:
    counts: Counter[int] = Counter()
    for stage in stages:
        if stage.progress.job.due >= now:
            counts[stage.rank] += len(stage.pieces)
    return counts
