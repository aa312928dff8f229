# learntlevel.py -- Running median of a server's measured times
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Running median of a server's measured times."""

from __future__ import annotations

import math
from dataclasses import dataclass, replace

# The first step of the running median on the logarithmic scale; step n is this divided by n. The
# first three add up to log(1.7), so a server that takes 1.7 times as long is found at once, while
# a spell during the first sample is undone by the next ones.
FIRST_STEP = 0.3
# The smallest step, which bounds what one sample changes later on: three samples in a spell of
# 600 ms change the level by 6 %, less than a difference that counts.
MIN_STEP = 0.02
# The spread is averaged over this many samples.
SPREAD_SAMPLES = 32
# A level without a new sample for this time loses half of its samples, in milliseconds.
STALE_MS = 60_000.0


@dataclass(frozen=True, slots=True)
class LearntLevel:
    """A running median of logarithms of time ratios. It is immutable: each sample gives a new one.

    Attributes:
        level: The median, as a natural logarithm.
        samples: The number of samples behind it.
        spread: The mean distance of samples from the level.
        measured_at: When the last sample was measured, in the clock's milliseconds.
    """

    level: float = 0.0
    samples: int = 0
    spread: float = 0.0
    measured_at: float = 0.0

    def after(self, sample: float, now: float) -> LearntLevel:
        """Return the level after another sample.

        Args:
            sample: The natural logarithm of a measured ratio.
            now: The clock's time.
        """
        samples = self.samples + 1
        step = max(MIN_STEP, FIRST_STEP / samples)
        distance = sample - self.level
        level = self.level + math.copysign(min(step, abs(distance)), distance)
        spread = self.spread + (abs(distance) - self.spread) / min(samples, SPREAD_SAMPLES)
        return LearntLevel(level, samples, spread, now)

    def at(self, now: float) -> LearntLevel:
        """Return the level at a time: half of the samples are lost in each STALE_MS without one."""
        periods = int((now - self.measured_at) / STALE_MS)
        if periods < 1 or not self.samples:
            return self
        measured_at = self.measured_at + periods * STALE_MS
        return replace(self, samples=self.samples >> min(periods, 32), measured_at=measured_at)
