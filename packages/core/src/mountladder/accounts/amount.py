# amount.py -- Number, duration and cost of calls to backend servers
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Number, duration and cost of calls to backend servers."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Amount:
    """Calls to backend servers, their duration and their cost.

    Attributes:
        calls: The number of calls.
        ms: Their total time on backend servers in milliseconds.
        cost: Their cost, in the operator's unit.
    """

    calls: int = 0
    ms: float = 0.0
    cost: float = 0.0

    def plus(self, other: Amount) -> Amount:
        """Return the sum of two amounts."""
        return Amount(self.calls + other.calls, self.ms + other.ms, self.cost + other.cost)
