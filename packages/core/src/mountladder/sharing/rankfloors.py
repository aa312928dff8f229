# rankfloors.py -- Fraction of the sent pieces that each rank is guaranteed in an overload
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Fraction of the sent pieces that each rank is guaranteed in an overload."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

# Part of its share of the arriving pieces that a rank is guaranteed. The other half of the capacity
# goes by urgency: callers of a less urgent rank lose at most twice as much as with equal treatment.
FLOOR_OF_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class RankFloors:
    """Fraction of the sent pieces that each rank is guaranteed in an overload.

    Handles a burst of the most urgent requests that would take all calls for seconds.

    Attributes:
        fractions: The guaranteed fraction of the sent pieces by rank, the most urgent first;
            together at most FLOOR_OF_SHARE.
        sent: The recently sent pieces that could be on time, by rank.
        sent_late: The recently sent pieces that were late already, by rank.
        onset_ms: The time until they take effect if the queue does not shrink, in milliseconds; 0
            in an overload.
        call_ms: The expected time of a full call, in milliseconds.
        memory_ms: The time in which the sent pieces decay to 1/e, in milliseconds.
    """

    fractions: Mapping[int, float] = field(default_factory=dict)
    sent: Mapping[int, float] = field(default_factory=dict)
    sent_late: Mapping[int, float] = field(default_factory=dict)
    onset_ms: float = 0.0
    call_ms: float = 0.0
    memory_ms: float = 0.0

    def total_sent(self) -> float:
        """Return the recently sent pieces of all ranks."""
        return sum(self.sent.values()) + sum(self.sent_late.values())

    def fraction(self, rank: int) -> float:
        """Return the guaranteed fraction of the sent pieces of a rank."""
        return self.fractions.get(rank, 0.0)


def guaranteed_fractions(
    demand: Mapping[int, float], waiting: Mapping[int, int]
) -> dict[int, float]:
    """Return the fraction of the sent pieces that each rank is guaranteed, the most urgent first.

    Args:
        demand: The pieces that can be on time, as they arrive in some time, by rank.
        waiting: The waiting pieces that can be on time, by rank. They count as demand even if they
            have waited for longer than arrivals are remembered.
    """
    ranks = sorted(demand.keys() | waiting.keys())
    amounts = {rank: max(demand.get(rank, 0.0), waiting.get(rank, 0)) for rank in ranks}
    total = sum(amounts.values())
    return {rank: FLOOR_OF_SHARE * one / total for rank, one in amounts.items() if one > 0}
