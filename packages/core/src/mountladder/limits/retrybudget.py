# retrybudget.py -- A limit on retries
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A limit on retries."""

from __future__ import annotations


class RetryBudget:
    """Allows retries as a share of successful work, with a small reserve for quiet times.

    Args:
        share: How many retries each success earns.
        reserve: The most that can be saved up.
    """

    def __init__(self, share: float = 0.1, reserve: float = 10.0) -> None:
        self.share = share
        self.reserve = reserve
        self.saved = reserve

    def earn(self) -> None:
        """Record a success."""
        self.saved = min(self.reserve, self.saved + self.share)

    def spend(self) -> bool:
        """Take one retry out of the budget; tell whether there was one."""
        if self.saved < 1.0:
            return False
        self.saved -= 1.0
        return True
