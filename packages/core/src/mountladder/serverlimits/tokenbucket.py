# tokenbucket.py -- A rate at which requests may be sent, with places booked ahead
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A rate at which requests may be sent, with places booked ahead."""

from __future__ import annotations

from mountladder.clocks.timer import MS_PER_SECOND


class TokenBucket:
    """Tokens for requests, which come at a rate; those that are yet to come may be booked.

    It begins without any, since whoever begins to count does not know what was sent just before.

    Args:
        per_s: How many tokens come a second.
        most: How many are kept at most.
        now: The clock's time.

    Attributes:
        tokens: How many there are; below zero where some were booked that are yet to come.
        refilled_at: When it was last looked at.
    """

    def __init__(self, per_s: float, most: float, now: float) -> None:
        self.per_s = per_s
        self.most = most
        self.tokens = 0.0
        self.refilled_at = now

    def refill(self, now: float) -> None:
        """Add what has come since it was last looked at."""
        come = self.per_s * (now - self.refilled_at) / MS_PER_SECOND
        self.tokens = min(self.most, self.tokens + come)
        self.refilled_at = now

    def change(self, per_s: float, most: float, now: float) -> None:
        """Change the rate, and how many are kept; what is booked stays booked."""
        self.refill(now)
        self.per_s, self.most = per_s, most

    def wait_ms(self, now: float) -> float:
        """Return how long it takes until the next token that is not booked is there."""
        self.refill(now)
        return max(0.0, 1.0 - self.tokens) * MS_PER_SECOND / self.per_s

    def take(self, now: float) -> None:
        """Take the next token, or book it."""
        self.refill(now)
        self.tokens -= 1.0
