# tokenbucket.py -- Token bucket with reservations
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Token bucket with reservations."""

from __future__ import annotations

from mountladder.clocks.timer import MS_PER_SECOND


class TokenBucket:
    """A token bucket whose future tokens can be reserved.

    It starts empty, since it is not known what was sent just before.

    Args:
        per_s: The refill rate, in tokens a second.
        max_tokens: The maximum number of tokens.
        now: The clock's time, in milliseconds.

    Attributes:
        tokens: The number of tokens; negative where future ones are reserved.
        refilled_at: When it was last refilled.
    """

    def __init__(self, per_s: float, max_tokens: float, now: float) -> None:
        self.per_s = per_s
        self.max_tokens = max_tokens
        self.tokens = 0.0
        self.refilled_at = now

    def refill(self, now: float) -> None:
        """Add the tokens that are due since the last refill."""
        added = self.per_s * (now - self.refilled_at) / MS_PER_SECOND
        self.tokens = min(self.max_tokens, self.tokens + added)
        self.refilled_at = now

    def set_rate(self, per_s: float, max_tokens: float, now: float) -> None:
        """Change the rate and the maximum; reservations stay."""
        self.refill(now)
        self.per_s, self.max_tokens = per_s, max_tokens

    def wait_ms(self, now: float) -> float:
        """Return the time until the next token that is not reserved, in milliseconds."""
        self.refill(now)
        return max(0.0, 1.0 - self.tokens) * MS_PER_SECOND / self.per_s

    def take(self, now: float) -> None:
        """Take the next token, or reserve it."""
        self.refill(now)
        self.tokens -= 1.0
