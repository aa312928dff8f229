# memorymetrics.py -- Metrics kept in memory
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Metrics kept in memory."""

from __future__ import annotations

from collections import Counter

from mountladder.metrics.metric import Metric
from mountladder.metrics.metrics import Metrics


class MemoryMetrics(Metrics):
    """Keeps metrics in memory, for tests and for an instance's status page."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.gauges: dict[str, float] = {}

    def count(self, metric: Metric, suffix: str = "", number: int = 1) -> None:
        """Add to a counter."""
        self.counts[metric.label + suffix] += number

    def timing(self, metric: Metric, value_ms: float, suffix: str = "") -> None:
        """Count a duration and add it to the total, in milliseconds."""
        self.counts[metric.label + suffix] += 1
        self.gauges[metric.label + suffix] = self.gauges.get(metric.label + suffix, 0.0) + value_ms

    def gauge(self, metric: Metric, value: float) -> None:
        """Set a gauge."""
        self.gauges[metric.label] = value
