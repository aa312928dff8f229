# costmodel.py -- The learnt time of a stage
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The learnt time of a stage."""

from __future__ import annotations

from mountladder.histogram import Histogram
from mountladder.stage import Stage

DEFAULT_MS = 50.0
WEIGHT_DOWN = 0.3
WEIGHT_UP = 0.05
LENGTH_STEP_BITS = 1


class CostModel:
    """Learns how long a stage takes on an unloaded server, by accelerator and input length.

    Input lengths fall into classes that double in length. A class that was never seen takes the
    value of the nearest one that was.
    """

    def __init__(self) -> None:
        self.means: dict[tuple[str, str, str], dict[int, float]] = {}
        self.histograms: dict[tuple[str, str], Histogram] = {}

    def record(self, stage: Stage, accelerator: str, length: int, unloaded_ms: float) -> None:
        """Learn from one call, its time corrected for the load it met.

        What is not known of the load makes calls look slow and never fast, so that a shorter time
        counts for more than a longer one.
        """
        classes = self.means.setdefault((stage.work, stage.model, accelerator), {})
        size = length.bit_length() // LENGTH_STEP_BITS
        old = classes.get(size)
        if old is None:
            classes[size] = unloaded_ms
        else:
            weight = WEIGHT_DOWN if unloaded_ms < old else WEIGHT_UP
            classes[size] = old + weight * (unloaded_ms - old)

    def record_whole(self, pipeline: str, stage: Stage, elapsed_ms: float) -> None:
        """Learn how long a stage took in all, queueing and retries included."""
        key = (pipeline, stage.name)
        histogram = self.histograms.get(key)
        if histogram is None:
            histogram = self.histograms[key] = Histogram()
        histogram.record(elapsed_ms)

    def expected(self, stage: Stage, accelerator: str, length: int) -> float:
        """Return the expected time on an unloaded server, in milliseconds."""
        classes = self.means.get((stage.work, stage.model, accelerator))
        if not classes:
            return self.any_accelerator(stage, length)
        size = length.bit_length() // LENGTH_STEP_BITS
        value = classes.get(size)
        if value is None:
            nearest = min(classes, key=lambda known: abs(known - size))
            value = classes[nearest]
        return value

    def any_accelerator(self, stage: Stage, length: int) -> float:
        """Return the least time known on any accelerator, so that a new one is tried."""
        size = length.bit_length() // LENGTH_STEP_BITS
        known = [
            classes[min(classes, key=lambda one: abs(one - size))]
            for (work, model, _), classes in self.means.items()
            if (work, model) == (stage.work, stage.model)
        ]
        return min(known, default=DEFAULT_MS)

    def knows(self, stage: Stage, accelerator: str) -> bool:
        """Tell whether a stage was ever timed on an accelerator."""
        return (stage.work, stage.model, accelerator) in self.means
