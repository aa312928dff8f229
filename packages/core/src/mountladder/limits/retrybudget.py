# retrybudget.py -- Retry budget as a fraction of successful calls
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Retry budget as a fraction of successful calls."""

from __future__ import annotations


class RetryBudget:
    """Allows retries as a fraction of successful calls, with a small reserve for low traffic.

    Args:
        share: The number of retries that each success adds.
        reserve: The maximum number of retries that can accumulate.
    """

    def __init__(self, share: float = 0.1, reserve: float = 10.0) -> None:
        self.share = share
        self.reserve = reserve
        self.saved = reserve

    def earn(self) -> None:
        """Record a success."""
        self.saved = min(self.reserve, self.saved + self.share)

    def spend(self) -> bool:
        """Take one retry out of the budget; return whether it had one."""
        if self.saved < 1.0:
            return False
        self.saved -= 1.0
        return True
