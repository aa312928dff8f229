# statsdmetrics.py -- Metrics sent to statsd
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Metrics sent to statsd."""

from __future__ import annotations

from statsd import StatsClient

from mountladder.metrics.memorymetrics import MemoryMetrics
from mountladder.metrics.metric import Metric

PREFIX = "mountladder"


class StatsdMetrics(MemoryMetrics):
    """Sends metrics to a statsd server over UDP and keeps them for the status page.

    Args:
        host: The server's IP number.
        port: Its UDP port.
    """

    def __init__(self, host: str, port: int) -> None:
        super().__init__()
        self.client = StatsClient(host, port, prefix=PREFIX)

    def count(self, metric: Metric, suffix: str = "", number: int = 1) -> None:
        """Add to a counter."""
        super().count(metric, suffix, number)
        self.client.incr(metric.label + suffix, number)

    def timing(self, metric: Metric, value_ms: float, suffix: str = "") -> None:
        """Record a duration in milliseconds."""
        super().timing(metric, value_ms, suffix)
        self.client.timing(metric.label + suffix, value_ms)

    def gauge(self, metric: Metric, value: float) -> None:
        """Set a gauge."""
        super().gauge(metric, value)
        self.client.gauge(metric.label, value)

    def close(self) -> None:
        """Close the socket."""
        self.client.close()
