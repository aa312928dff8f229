# metrics.py -- Interface for recording metrics
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Interface for recording metrics."""

from __future__ import annotations

from abc import ABC, abstractmethod

from mountladder.metrics.metric import Metric


class Metrics(ABC):
    """Records counters, durations and gauges."""

    @abstractmethod
    def count(self, metric: Metric, suffix: str = "", number: int = 1) -> None:
        """Add to a counter."""

    @abstractmethod
    def timing(self, metric: Metric, value_ms: float, suffix: str = "") -> None:
        """Record a duration in milliseconds."""

    @abstractmethod
    def gauge(self, metric: Metric, value: float) -> None:
        """Set a gauge."""
