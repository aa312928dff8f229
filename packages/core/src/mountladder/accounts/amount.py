# amount.py -- An amount of work and what it cost
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""An amount of work and what it cost."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Amount:
    """An amount of work.

    Attributes:
        calls: How many calls.
        ms: Their time on backend servers in milliseconds.
        cost: What it cost, in the operator's unit.
    """

    calls: int = 0
    ms: float = 0.0
    cost: float = 0.0

    def plus(self, other: Amount) -> Amount:
        """Return the sum of two amounts."""
        return Amount(self.calls + other.calls, self.ms + other.ms, self.cost + other.cost)
