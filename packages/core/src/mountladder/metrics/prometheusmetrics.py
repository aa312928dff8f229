# prometheusmetrics.py -- Metrics in the text format of Prometheus
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Metrics in the text format of Prometheus."""

from __future__ import annotations

import importlib
from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterator
from types import ModuleType

from mountladder.metrics.metric import Metric
from mountladder.metrics.metrics import Metrics

PREFIX = "mountladder_"
# Covers latencies from a few milliseconds up to a deadline of 12 s.
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
    """Keeps metrics in memory and renders them in the text format of Prometheus.

    The client library is imported only when the text is first requested: importing it takes a
    twentieth of a process's start-up time, and most processes never need it.
    """

    def __init__(self) -> None:
        self.counts: dict[Metric, dict[str, float]] = defaultdict(lambda: defaultdict(float))
        self.gauges: dict[Metric, float] = {}
        self.timings: dict[Metric, dict[str, list[int]]] = defaultdict(dict)
        self.sums: dict[Metric, dict[str, float]] = defaultdict(lambda: defaultdict(float))

    def count(self, metric: Metric, suffix: str = "", number: int = 1) -> None:
        """Add to a counter."""
        self.counts[metric][suffix] += number

    def timing(self, metric: Metric, value_ms: float, suffix: str = "") -> None:
        """Record a duration in milliseconds."""
        counts = self.timings[metric].get(suffix)
        if counts is None:
            counts = self.timings[metric][suffix] = [0] * (len(BUCKETS_MS) + 1)
        counts[bisect_left(BUCKETS_MS, value_ms)] += 1
        self.sums[metric][suffix] += value_ms

    def gauge(self, metric: Metric, value: float) -> None:
        """Set a gauge."""
        self.gauges[metric] = value

    def render(self) -> bytes:
        """Return every metric as text."""
        library = importlib.import_module("prometheus_client")
        registry = library.CollectorRegistry(auto_describe=False)
        registry.register(self)
        return library.generate_latest(registry)

    def collect(self) -> Iterator[object]:
        """Yield every metric as a metric family of the client library."""
        families = importlib.import_module("prometheus_client.core")
        for metric in Metric:
            yield self.family(metric, families)

    def family(self, metric: Metric, families: ModuleType) -> object:
        """Return one metric with its values as a metric family of the client library."""
        name = PREFIX + metric.label.rstrip(".")
        labels = ["name"] if metric.label.endswith(".") else []
        plain = [] if labels else [""]
        if metric.type == "gauge":
            value = self.gauges.get(metric, 0.0)
            return families.GaugeMetricFamily(name, metric.meaning, value=value)
        if metric.type == "counter":
            family = families.CounterMetricFamily(name, metric.meaning, labels=labels)
            for suffix in self.counts[metric] or plain:
                family.add_metric([suffix] if labels else [], self.counts[metric][suffix])
            return family
        family = families.HistogramMetricFamily(name, metric.meaning, labels=labels)
        for suffix in self.timings[metric] or plain:
            buckets = self.buckets(metric, suffix)
            total = self.sums[metric][suffix]
            family.add_metric([suffix] if labels else [], buckets, total)
        return family

    def buckets(self, metric: Metric, suffix: str) -> list[tuple[str, float]]:
        """Return the upper bound and the cumulative count of each bucket."""
        counts = self.timings[metric].get(suffix, [0] * (len(BUCKETS_MS) + 1))
        bounds = [*(f"{one:.1f}" for one in BUCKETS_MS), "+Inf"]
        return [(bound, float(sum(counts[: n + 1]))) for n, bound in enumerate(bounds)]
