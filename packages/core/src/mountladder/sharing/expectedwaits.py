# expectedwaits.py -- Expected waits of new pieces under the floors of ranks
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Expected waits of new pieces under the floors of ranks."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass

from mountladder.forwarding.backlog import MAX_RANK
from mountladder.sharing.rankfloors import RankFloors

# Fraction of the throughput that is assumed to be left for late pieces while those that can be on
# time ask for all of it, as for the least urgent rank without floors. With 0.1, expected waits
# reached 18 s that never occurred, and stages whose next step they announced were held back.
LATE_RATE_FRACTION = 0.35


@dataclass(frozen=True, slots=True)
class ExpectedWaits:
    """Computes the waits that the order of calls gives to new pieces.

    Handles an overload in which the order and the admission of requests must agree: no rank
    is promised more than it gets, and the more urgent ones lack what the floors of others take.

    Attributes:
        ahead: The waiting and announced pieces by priority class.
        rate: The throughput of all servers in pieces per millisecond.
        floors: The floors of the ranks.
    """

    ahead: Mapping[int, int]
    rate: float
    floors: RankFloors

    def wait_ms(self, priority: int, rate_above: float) -> float:
        """Return the expected wait of new pieces of a priority class, in milliseconds.

        Args:
            priority: The priority class.
            rate_above: The arrival rate of more urgent pieces, in pieces per millisecond.
        """
        ahead = sum(self.ahead.get(one, 0) for one in range(priority + 1))
        if not ahead:
            return 0.0
        left_rate = self.rate - rate_above - self.reserved_rate(priority)
        by_order_ms = ahead / left_rate if left_rate > 0 else math.inf
        if priority > MAX_RANK:
            return min(by_order_ms, ahead / (LATE_RATE_FRACTION * self.rate))
        return min(by_order_ms, self.by_floor_ms(priority))

    def reserved_rate(self, priority: int) -> float:
        """Return the throughput reserved for less urgent ranks that wait, in pieces per ms."""
        if self.floors.onset_ms > 0:
            return 0.0
        below = (one for one in range(priority + 1, MAX_RANK + 1) if self.ahead.get(one, 0))
        return self.rate * sum(map(self.floors.fraction, below))

    def by_floor_ms(self, priority: int) -> float:
        """Return the wait in milliseconds if a rank gets no more than its floor.

        The floor may send only the first piece of a stage; the others go first, as those of a begun
        stage, one call later.
        """
        delay_ms = max(self.floors.onset_ms, self.lead_ms(priority)) + self.floors.call_ms
        own = self.ahead.get(priority, 0)
        if not own:
            return delay_ms
        floor = self.floors.fraction(priority)
        return delay_ms + own / (floor * self.rate) if floor > 0 else math.inf

    def lead_ms(self, priority: int) -> float:
        """Return how long a rank is not behind its floor because of what it was sent before.

        The sent pieces of the rank decay, and those of all ranks approach what the servers make
        within the memory's time.
        """
        floors = self.floors
        fraction = floors.fraction(priority)
        lead = floors.sent.get(priority, 0.0) - fraction * floors.total_sent()
        full = fraction * self.rate * floors.memory_ms
        if lead <= 0 or full <= 0:
            return 0.0
        return floors.memory_ms * math.log1p(lead / full)
