# rankdemand.py -- How many pieces each rank asks a stage service for
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""How many pieces each rank asks a stage service for."""

from __future__ import annotations

import math

from mountladder.forwarding.backlog import MAX_RANK
from mountladder.sharing.decayedsums import DecayedSums

# How slowly the demand of a rank falls once it was seen. In an overload only the requests that a
# rank's floor can serve are let in. If these alone counted as its demand, a floor of half its share
# would let in half as much every two seconds, until nothing was left. An overload lasts up to some
# tens of seconds.
HOLD_MS = 30_000.0


class RankDemand:
    """How many pieces each rank asks a stage service for.

    Handles an overload that hides the demand of the ranks it has refused.

    Args:
        memory_ms: The time over which arrivals are counted, in milliseconds.
    """

    def __init__(self, memory_ms: float) -> None:
        self.arrived: DecayedSums[int] = DecayedSums(memory_ms, MAX_RANK + 1)
        self.peaks: dict[int, tuple[float, float]] = {}

    def record(self, rank: int, pieces: int, now: float) -> None:
        """Record pieces that have arrived."""
        self.arrived.add(rank, pieces, now)
        self.peaks[rank] = (max(self.arrived.sums(now)[rank], self.peak(rank, now)), now)

    def peak(self, rank: int, now: float) -> float:
        """Return the highest demand of a rank, reduced by the time since."""
        amount, at = self.peaks.get(rank, (0.0, now))
        return amount * math.exp((at - now) / HOLD_MS)

    def amounts(self, now: float) -> dict[int, float]:
        """Return the demand of each rank in pieces within the memory's time."""
        return {rank: self.peak(rank, now) for rank in self.peaks}
