# costmodel.py -- The learnt time of a stage
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The learnt time of a stage."""

from __future__ import annotations

from mountladder.configuration.stage import Stage
from mountladder.metrics.histogram import Histogram

DEFAULT_MS = 50.0
WEIGHT_DOWN = 0.3
WEIGHT_UP = 0.05
LONGER = 1.2


class CostModel:
    """Learns how long a stage takes on an unloaded server, by accelerator and input length.

    Input lengths fall into classes that double in length. A class that was never seen on an
    accelerator takes the value of the nearest one that was, scaled as another accelerator that
    has seen both tells.
    """

    def __init__(self) -> None:
        self.means: dict[tuple[str, str, str], dict[int, float]] = {}
        self.gaps: dict[tuple[str, str], float] = {}
        self.histograms: dict[tuple[str, str], Histogram] = {}

    def record(self, stage: Stage, accelerator: str, length: int, unloaded_ms: float) -> None:
        """Learn from one call, its time corrected for the load it met.

        What is not known of the load makes calls look slow and never fast, so that a shorter time
        counts for more than a longer one.
        """
        classes = self.means.setdefault((stage.work, stage.model, accelerator), {})
        size = _size(length)
        classes[size] = _follow(classes.get(size), unloaded_ms)

    def gap(self, stage: Stage, accelerator: str, gap_ms: float) -> float:
        """Learn from the time between two tokens; return what it is without load."""
        key = (stage.model, accelerator)
        gap = self.gaps[key] = _follow(self.gaps.get(key), gap_ms)
        return gap

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
        size = _size(length)
        value = classes.get(size)
        return self.scaled(stage, classes, size) if value is None else value

    def scaled(self, stage: Stage, classes: dict[int, float], size: int) -> float:
        """Return the time of a class that was never seen on an accelerator."""
        nearest = min(classes, key=lambda known: abs(known - size))
        for (work, model, _), others in self.means.items():
            if (work, model) == (stage.work, stage.model) and {nearest, size} <= others.keys():
                return classes[nearest] * others[size] / others[nearest]
        return classes[nearest]

    def record_failure(self, stage: Stage, accelerator: str, length: int, spent_ms: float) -> None:
        """Learn from a call that took too long: its whole time would have been longer still.

        What is known only to be longer is taken over at once, since such calls tell nothing more.
        """
        if spent_ms > self.expected(stage, accelerator, length):
            classes = self.means.setdefault((stage.work, stage.model, accelerator), {})
            classes[_size(length)] = spent_ms * LONGER

    def any_accelerator(self, stage: Stage, length: int) -> float:
        """Return the least time known on any accelerator, so that a new one is tried."""
        size = _size(length)
        known = [
            classes[min(classes, key=lambda one: abs(one - size))]
            for (work, model, _), classes in self.means.items()
            if (work, model) == (stage.work, stage.model)
        ]
        return min(known, default=DEFAULT_MS)


def _size(length: int) -> int:
    return length.bit_length()


def _follow(old: float | None, new: float) -> float:
    if old is None:
        return new
    weight = WEIGHT_DOWN if new < old else WEIGHT_UP
    return old + weight * (new - old)
