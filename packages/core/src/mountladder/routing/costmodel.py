# costmodel.py -- Learns how long stages take on unloaded servers
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Learns how long stages take on unloaded servers."""

from __future__ import annotations

from mountladder.configuration.stage import Stage
from mountladder.metrics.histogram import Histogram

DEFAULT_MS = 50.0
DECREASE_WEIGHT = 0.3
INCREASE_WEIGHT = 0.05
TIMEOUT_FACTOR = 1.2


class CostModel:
    """Learns how long a stage takes on an unloaded server, by accelerator and input length.

    The cost of a call is its duration here, not its price.

    Input lengths are grouped into classes of powers of two. A class without measurements on an
    accelerator takes the time of the nearest class that has some, scaled by the ratio of the two
    classes on another accelerator, where one has measurements of both.

    Attributes:
        means: The smoothed unloaded times in milliseconds, by length class, for each work, model
            and accelerator.
        token_intervals: The smoothed unloaded time between two tokens in milliseconds, by model and
            accelerator.
        histograms: The total times of each pipeline's stages, queueing and retries included.
    """

    def __init__(self) -> None:
        self.means: dict[tuple[str, str, str], dict[int, float]] = {}
        self.token_intervals: dict[tuple[str, str], float] = {}
        self.histograms: dict[tuple[str, str], Histogram] = {}

    def record(self, stage: Stage, accelerator: str, length: int, unloaded_ms: float) -> None:
        """Update the expected time from one call, its time already corrected for load.

        Load that the instance does not know of makes calls look slower but never faster, so a
        shorter time gets a higher weight than a longer one.
        """
        classes = self.means.setdefault((stage.work, stage.model, accelerator), {})
        length_class = _length_class(length)
        classes[length_class] = _smooth(classes.get(length_class), unloaded_ms)

    def update_token_interval(self, stage: Stage, accelerator: str, interval_ms: float) -> float:
        """Update the unloaded time between two tokens from a measurement; return the new value."""
        key = (stage.model, accelerator)
        interval = self.token_intervals[key] = _smooth(self.token_intervals.get(key), interval_ms)
        return interval

    def record_total(self, pipeline: str, stage: Stage, elapsed_ms: float) -> None:
        """Record the total time of a stage, queueing and retries included."""
        key = (pipeline, stage.name)
        histogram = self.histograms.get(key)
        if histogram is None:
            histogram = self.histograms[key] = Histogram()
        histogram.record(elapsed_ms)

    def expected(self, stage: Stage, accelerator: str, length: int) -> float:
        """Return the expected time on an unloaded server, in milliseconds."""
        classes = self.means.get((stage.work, stage.model, accelerator))
        if not classes:
            return self.min_expected(stage, length)
        length_class = _length_class(length)
        value = classes.get(length_class)
        return self.extrapolate(stage, classes, length_class) if value is None else value

    def extrapolate(self, stage: Stage, classes: dict[int, float], length_class: int) -> float:
        """Return the expected time of a length class without measurements on an accelerator."""
        nearest = min(classes, key=lambda known: abs(known - length_class))
        for (work, model, _), others in self.means.items():
            if (work, model) == (stage.work, stage.model) and {
                nearest,
                length_class,
            } <= others.keys():
                return classes[nearest] * others[length_class] / others[nearest]
        return classes[nearest]

    def record_timeout(self, stage: Stage, accelerator: str, length: int, spent_ms: float) -> None:
        """Raise the expected time after a call that was cut off for taking too long.

        The time spent is only a lower bound. It is adopted at once and raised by a fifth, since
        calls that are cut off never report their full time.
        """
        if spent_ms > self.expected(stage, accelerator, length):
            classes = self.means.setdefault((stage.work, stage.model, accelerator), {})
            classes[_length_class(length)] = spent_ms * TIMEOUT_FACTOR

    def min_expected(self, stage: Stage, length: int) -> float:
        """Return the shortest time known on any accelerator, so that a new one gets tried."""
        length_class = _length_class(length)
        known = [
            classes[min(classes, key=lambda one: abs(one - length_class))]
            for (work, model, _), classes in self.means.items()
            if (work, model) == (stage.work, stage.model)
        ]
        return min(known, default=DEFAULT_MS)


def _length_class(length: int) -> int:
    return length.bit_length()


def _smooth(old: float | None, new: float) -> float:
    if old is None:
        return new
    weight = DECREASE_WEIGHT if new < old else INCREASE_WEIGHT
    return old + weight * (new - old)
