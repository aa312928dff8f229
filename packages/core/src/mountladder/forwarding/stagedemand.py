# stagedemand.py -- Announced pieces and arrival rates of a stage service
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Announced pieces and arrival rates of a stage service."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Sequence

from mountladder.clocks.clock import Clock
from mountladder.forwarding.backlog import MAX_RANK, PRIORITY_CLASSES, priority_class, rank
from mountladder.forwarding.stagejob import StageJob
from mountladder.forwarding.stagenotice import StageNotice
from mountladder.limits.rankrates import RankRates
from mountladder.sharing.expectedwaits import ExpectedWaits
from mountladder.sharing.rankfloors import RankFloors

# An announcement expires after this time if its pieces have not arrived.
ANNOUNCEMENT_TTL_MS = 2_500.0
# Where ranks have no floors: minimum fraction of the throughput that is assumed to be left for the
# least urgent pieces, since more urgent ones go first only if they are due soon. With 0.1, expected
# waits reached 30 s that never occurred, and requests were refused for them.
MIN_RATE_FRACTION = 0.35


class StageDemand:
    """Demand for a stage service: announced pieces and arrival rates.

    Args:
        clock: The clock.

    Attributes:
        rates: The pieces that arrived, by priority class.
        refused: The pieces of refused requests, by rank.
        announced: The announcements whose pieces have not arrived, and when they expire.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.rates = RankRates(clock)
        self.refused = RankRates(clock)
        self.announced: dict[tuple[str, int], tuple[StageNotice, float]] = {}

    def announce(self, notice: StageNotice) -> None:
        """Record an announcement, so that its pieces count as waiting already."""
        key = (notice.request, notice.stage)
        self.announced.pop(key, None)
        if notice.pieces:
            self.announced[key] = (notice, self.clock.now() + ANNOUNCEMENT_TTL_MS)

    def record_arrival(self, job: StageJob) -> None:
        """Record that the pieces of a stage have arrived."""
        self.announced.pop((job.request, job.stage), None)
        self.rates.add(job.priority_class(self.clock.now()), job.pieces)

    def record_refused(self, pieces: Sequence[int]) -> None:
        """Record the pieces of refused requests, by rank, as if they had arrived."""
        for urgency, number in enumerate(pieces):
            if number:
                self.refused.add(rank(urgency), number)

    def rate_above(self, priority: int) -> float:
        """Return the rate of more urgent pieces that were asked for, in pieces per millisecond.

        Classes that give way get what the ranks leave, and refused pieces take nothing. Counted for
        them too, these had so few requests admitted that calls were not full.
        """
        arrived = self.rates.rate_above(priority)
        return arrived + self.refused.rate_above(priority) if priority <= MAX_RANK else arrived

    def count_announced(self) -> Counter[int]:
        """Return the number of announced pieces that have not arrived, by priority class."""
        now = self.clock.now()
        self.announced = {key: one for key, one in self.announced.items() if one[1] > now}
        counts: Counter[int] = Counter()
        for notice, _ in self.announced.values():
            priority = priority_class(notice.urgency, notice.gives_way, notice.attempt)
            counts[priority] += notice.pieces
        return counts

    def waits_ms(
        self,
        waiting: Counter[int],
        rate: float,
        busy_ms: float,
        floors: Callable[[Counter[int]], RankFloors] | None = None,
    ) -> tuple[float, ...]:
        """Return the expected waits of new pieces in milliseconds, by priority class.

        Args:
            waiting: The number of waiting pieces by priority class.
            rate: The throughput of all servers in pieces per millisecond.
            busy_ms: The time until the first server is free, in milliseconds.
            floors: Returns the floors of the ranks, given the number of waiting and announced
                pieces by priority class. None without floors.
        """
        ahead = waiting + self.count_announced()
        if floors is not None:
            expected = ExpectedWaits(ahead, rate, floors(ahead))
            return tuple(
                busy_ms + expected.wait_ms(one, self.rate_above(one)) for one in PRIORITY_CLASSES
            )
        waits = []
        for priority in PRIORITY_CLASSES:
            # More urgent pieces that arrive meanwhile go first.
            left_rate = max(MIN_RATE_FRACTION * rate, rate - self.rate_above(priority))
            waits.append(busy_ms + sum(ahead[one] for one in range(priority + 1)) / left_rate)
        return tuple(waits)
