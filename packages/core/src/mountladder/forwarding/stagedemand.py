# stagedemand.py -- Announced pieces and arrival rates of a stage service
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Announced pieces and arrival rates of a stage service."""

from __future__ import annotations

from collections import Counter

from mountladder.clocks.clock import Clock
from mountladder.forwarding.backlog import PLACES, place
from mountladder.forwarding.stagejob import StageJob
from mountladder.forwarding.stagenotice import StageNotice
from mountladder.limits.rankrates import RankRates

# An announcement expires after this time if its pieces have not arrived.
ANNOUNCED_MS = 2_500.0
# Minimum fraction of the throughput that is assumed to be left for the least urgent pieces, since
# more urgent ones go first only if they are due soon. With 0.1, expected waits reached 30 s that
# never occurred, and requests were refused for them.
LEAST_RATE = 0.35


class StageDemand:
    """Demand for a stage service: announced pieces and arrival rates.

    Args:
        clock: The clock.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.rates = RankRates(clock)
        self.announced: dict[tuple[str, int], tuple[StageNotice, float]] = {}

    def announce(self, notice: StageNotice) -> None:
        """Record an announcement, so that its pieces count as waiting already."""
        key = (notice.request, notice.stage)
        self.announced.pop(key, None)
        if notice.pieces:
            self.announced[key] = (notice, self.clock.now() + ANNOUNCED_MS)

    def came(self, job: StageJob) -> None:
        """Record that the pieces of a stage have arrived."""
        self.announced.pop((job.request, job.stage), None)
        self.rates.add(job.place(self.clock.now()), job.pieces)

    def coming(self) -> Counter[int]:
        """Return the number of announced pieces that have not arrived, by priority class."""
        now = self.clock.now()
        self.announced = {key: one for key, one in self.announced.items() if one[1] > now}
        coming: Counter[int] = Counter()
        for notice, _ in self.announced.values():
            coming[place(notice.urgency, notice.gives_way)] += notice.pieces
        return coming

    def waits_ms(self, waiting: Counter[int], rate: float, busy_ms: float) -> tuple[float, ...]:
        """Return the expected waits of new pieces in milliseconds, by priority class.

        Args:
            waiting: The number of waiting pieces by priority class.
            rate: The throughput of all servers in pieces per millisecond.
            busy_ms: The time until the first server is free, in milliseconds.
        """
        ahead = waiting + self.coming()
        waits = []
        for here in PLACES:
            # More urgent pieces that arrive meanwhile go first.
            left = max(LEAST_RATE * rate, rate - self.rates.above(here))
            waits.append(busy_ms + sum(ahead[one] for one in range(here + 1)) / left)
        return tuple(waits)
