# turnedaway.py -- Whom servers that limit what they take leave no turn
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Whom servers that limit what they take leave no turn."""

from __future__ import annotations

from mountladder.clocks.timer import MS_PER_SECOND

# While more urgent requests were turned away so lately, others leave them what servers take.
GIVES_WAY_MS = 1_000.0
# Nobody is asked to come back sooner: less than a connection of its own may take.
LEAST_BACK_MS = 20.0
# Places to come back are handed out at most so far ahead; few callers wait longer.
FARTHEST_MS = 10_000.0


class TurnedAway:
    """Remembers who was turned away at a service whose servers all limit what they take.

    So the less urgent are turned away first, and those that were come back one after the other, as
    the servers take them, in place of all at once for the same turn.

    Attributes:
        last: When requests of each rank were last turned away.
        back_at: Up to when all that servers take is promised to those that come back.
    """

    def __init__(self) -> None:
        self.last: dict[int, float] = {}
        self.back_at = 0.0

    def gives_way(self, urgency: int, now: float) -> bool:
        """Tell whether a request leaves its turn to more urgent ones."""
        return any(rank < urgency and now - at < GIVES_WAY_MS for rank, at in self.last.items())

    def add(self, urgency: int, wait_ms: float, per_s: float, now: float) -> float:
        """Turn a request away, and return when it is to come back, in milliseconds.

        Args:
            urgency: Its rank.
            wait_ms: When a server would take one more.
            per_s: How many requests a second all servers take.
            now: The clock's time.
        """
        self.last[urgency] = now
        first = max(now + max(wait_ms, LEAST_BACK_MS), self.back_at)
        self.back_at = min(first + MS_PER_SECOND / per_s, now + FARTHEST_MS)
        return first - now
