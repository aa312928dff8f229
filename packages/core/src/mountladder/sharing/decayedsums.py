# decayedsums.py -- Sums by key that decay exponentially
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Sums by key that decay exponentially."""

from __future__ import annotations

import math
from collections.abc import Hashable
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)
# Amounts are stored as multiples of a scale that grows with time, so that only new amounts have to
# be scaled. All are scaled down again after this many decay times, far from the limits of a float.
MAX_DECAY_TIMES = 40.0
# Amounts below this have decayed to nothing and are dropped when the scale is reset.
MIN_AMOUNT = 1e-6


class DecayedSums(Generic[Key]):
    """Sums by key that decay exponentially; times are passed in.

    Args:
        decay_ms: The time in which a sum falls to 1/e, in milliseconds.
        max_keys: The maximum number of keys; the one with the smallest sum is dropped beyond that.
    """

    def __init__(self, decay_ms: float, max_keys: int) -> None:
        self.decay_ms = decay_ms
        self.max_keys = max_keys
        self.scaled: dict[Key, float] = {}
        self.origin = 0.0

    def add(self, key: Key, amount: float, now: float) -> None:
        """Add an amount to the sum of a key."""
        scale = self.scale(now)
        if key not in self.scaled and len(self.scaled) >= self.max_keys:
            del self.scaled[min(self.scaled, key=self.scaled.__getitem__)]
        self.scaled[key] = self.scaled.get(key, 0.0) + amount * scale

    def sums(self, now: float) -> dict[Key, float]:
        """Return the sums at a time."""
        scale = self.scale(now)
        return {key: scaled / scale for key, scaled in self.scaled.items()}

    def scale(self, now: float) -> float:
        """Return the scale of new amounts; reset it if it has become large."""
        times = (now - self.origin) / self.decay_ms
        if times > MAX_DECAY_TIMES:
            factor = math.exp(-times)
            scaled = {key: one * factor for key, one in self.scaled.items()}
            self.scaled = {key: one for key, one in scaled.items() if one >= MIN_AMOUNT}
            self.origin = now
            return 1.0
        return math.exp(times)
