# releaseguard.py -- Pauses the early release of inputs when too many are needed after all
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Pauses the early release of inputs when too many are needed after all."""

from __future__ import annotations

# Early release pauses if more than this fraction of the releases were needed after all: such a
# request runs all its stages again, while a release saves memory for about one call.
MAX_NEEDED_FRACTION = 0.02
# How long it pauses, in milliseconds: about as long as a fault of a server or link lasts.
PAUSE_MS = 5_000.0
# The releases of about this time count, in milliseconds: older ones lose half of their weight in
# each such span.
HALF_LIFE_MS = 5_000.0


class ReleaseGuard:
    """Decides whether the inputs of stages may be released before the stages are done.

    Load: servers that crash or are late with calls whose inputs were released.

    Attributes:
        releases: The number of early releases, decayed.
        needed: How many of them were needed after all, decayed.
        updated: When the two numbers were decayed last.
        paused_until: Until when there is no early release.
    """

    def __init__(self) -> None:
        self.releases = 0.0
        self.needed = 0.0
        self.updated = 0.0
        self.paused_until = float("-inf")

    def is_paused(self, now: float) -> bool:
        """Return whether early release pauses."""
        return now < self.paused_until

    def record_releases(self, number: int, now: float) -> None:
        """Record that the inputs of a number of stages were released early."""
        self.decay(now)
        self.releases += number

    def record_needed(self, now: float) -> bool:
        """Record that inputs were needed after all; return whether a pause begins.

        A single such release does not start a pause, however few others there were. During a pause
        nothing is counted: these inputs were released before it.
        """
        if self.is_paused(now):
            return False
        self.decay(now)
        self.needed += 1.0
        if self.needed <= max(1.0, MAX_NEEDED_FRACTION * self.releases):
            return False
        self.paused_until = now + PAUSE_MS
        self.releases = self.needed = 0.0
        return True

    def decay(self, now: float) -> None:
        """Reduce the weight of older releases."""
        weight = 0.5 ** ((now - self.updated) / HALF_LIFE_MS)
        self.releases *= weight
        self.needed *= weight
        self.updated = now
