# retrybudget.py -- Retry budget as a fraction of successful calls
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Retry budget as a fraction of successful calls."""

from __future__ import annotations


class RetryBudget:
    """Allows retries as a fraction of successful calls, with a small reserve for low traffic.

    Args:
        ratio: The number of retries that each success adds.
        reserve: The maximum number of retries that can accumulate.
    """

    def __init__(self, ratio: float = 0.1, reserve: float = 10.0) -> None:
        self.ratio = ratio
        self.reserve = reserve
        self.balance = reserve

    def earn(self) -> None:
        """Record a success."""
        self.balance = min(self.reserve, self.balance + self.ratio)

    def spend(self) -> bool:
        """Take one retry out of the budget; return whether the budget allowed it."""
        if self.balance < 1.0:
            return False
        self.balance -= 1.0
        return True
