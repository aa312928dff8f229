# stagedemand.py -- What is asked of a stage service
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""What is asked of a stage service."""

from __future__ import annotations

from collections import Counter

from mountladder.clocks.clock import Clock
from mountladder.forwarding.backlog import PLACES, place
from mountladder.forwarding.stagejob import StageJob
from mountladder.forwarding.stagenotice import StageNotice
from mountladder.limits.rankrates import RankRates

# Pieces that were announced and have not come by then are not expected any more.
ANNOUNCED_MS = 2_500.0
# At least this part of the rate is taken to be left for the least urgent pieces: what is more
# urgent goes before them only as far as it is due soon. With a tenth waits of 30 s were expected
# that did not come, and requests were refused for them.
LEAST_RATE = 0.35


class StageDemand:
    """What is asked of a stage service: pieces that will come, and how fast they come.

    Args:
        clock: The clock.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.rates = RankRates(clock)
        self.announced: dict[tuple[str, int], tuple[StageNotice, float]] = {}

    def announce(self, notice: StageNotice) -> None:
        """Take in which pieces will come, so that they count as waiting already."""
        key = (notice.request, notice.stage)
        self.announced.pop(key, None)
        if notice.pieces:
            self.announced[key] = (notice, self.clock.now() + ANNOUNCED_MS)

    def came(self, job: StageJob) -> None:
        """Record that the pieces of a stage have come."""
        self.announced.pop((job.request, job.stage), None)
        self.rates.add(job.place(self.clock.now()), job.pieces)

    def coming(self) -> Counter[int]:
        """Return how many announced pieces are still to come, by their place."""
        now = self.clock.now()
        self.announced = {key: one for key, one in self.announced.items() if one[1] > now}
        coming: Counter[int] = Counter()
        for notice, _ in self.announced.values():
            coming[place(notice.urgency, notice.gives_way)] += notice.pieces
        return coming

    def waits_ms(self, waiting: Counter[int], rate: float, busy_ms: float) -> tuple[float, ...]:
        """Return how long new pieces are expected to wait, by their place.

        Args:
            waiting: How many pieces wait, by their place.
            rate: How many pieces a millisecond all servers can make.
            busy_ms: How long until the first server is free.
        """
        ahead = waiting + self.coming()
        waits = []
        for here in PLACES:
            # What comes in meanwhile and is more urgent goes first.
            left = max(LEAST_RATE * rate, rate - self.rates.rate_above(here))
            waits.append(busy_ms + sum(ahead[one] for one in range(here + 1)) / left)
        return tuple(waits)
