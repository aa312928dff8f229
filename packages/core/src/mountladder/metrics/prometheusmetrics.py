# prometheusmetrics.py -- Metrics that are served as text
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Metrics that are served as text."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from mountladder.metrics.metric import Metric
from mountladder.metrics.metrics import Metrics

PREFIX = "mountladder_"
# Latencies of the users' sheets lie between a few milliseconds and a deadline of 12 s.
BUCKETS_MS = (
    1,
    5,
    10,
    25,
    50,
    100,
    150,
    200,
    300,
    400,
    600,
    800,
    1000,
    1500,
    2000,
    4000,
    8000,
    12000,
)


class PrometheusMetrics(Metrics):
    """Counts in memory and renders everything in the text format of Prometheus."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.counters: dict[Metric, Counter] = {}
        self.histograms: dict[Metric, Histogram] = {}
        self.gauges: dict[Metric, Gauge] = {}
        for metric in Metric:
            self.register(metric)

    def register(self, metric: Metric) -> None:
        """Create the collector of a metric."""
        name = PREFIX + metric.label.rstrip(".")
        labels = ["name"] if metric.label.endswith(".") else []
        if metric.type == "counter":
            self.counters[metric] = Counter(name, metric.meaning, labels, registry=self.registry)
        elif metric.type == "timing":
            self.histograms[metric] = Histogram(
                name, metric.meaning, labels, registry=self.registry, buckets=BUCKETS_MS
            )
        else:
            self.gauges[metric] = Gauge(name, metric.meaning, registry=self.registry)

    def count(self, metric: Metric, suffix: str = "", number: int = 1) -> None:
        """Add to a counter."""
        counter = self.counters[metric]
        (counter.labels(suffix) if suffix else counter).inc(number)

    def timing(self, metric: Metric, value_ms: float, suffix: str = "") -> None:
        """Record a duration in milliseconds."""
        histogram = self.histograms[metric]
        (histogram.labels(suffix) if suffix else histogram).observe(value_ms)

    def gauge(self, metric: Metric, value: float) -> None:
        """Set a gauge."""
        self.gauges[metric].set(value)

    def render(self) -> bytes:
        """Return every metric as text."""
        return generate_latest(self.registry)
