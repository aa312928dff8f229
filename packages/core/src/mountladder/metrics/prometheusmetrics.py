# prometheusmetrics.py -- Metrics that are served as text
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Metrics that are served as text."""

from __future__ import annotations

import importlib
from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterator
from types import ModuleType

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
    """Counts in memory and renders everything in the text format of Prometheus.

    The library that writes the format is loaded when somebody asks for the text: a twentieth of
    what a start takes, which most processes never need.
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
        found = self.timings[metric].get(suffix)
        if found is None:
            found = self.timings[metric][suffix] = [0] * (len(BUCKETS_MS) + 1)
        found[bisect_left(BUCKETS_MS, value_ms)] += 1
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
        """Yield every metric as the library's kind of it."""
        families = importlib.import_module("prometheus_client.core")
        for metric in Metric:
            yield self.family(metric, families)

    def family(self, metric: Metric, families: ModuleType) -> object:
        """Return one metric with its values, as the library's kind of it."""
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
        """Return the upper bound of each bucket and how many durations do not exceed it."""
        counts = self.timings[metric].get(suffix, [0] * (len(BUCKETS_MS) + 1))
        bounds = [*(f"{one:.1f}" for one in BUCKETS_MS), "+Inf"]
        return [(bound, float(sum(counts[: n + 1]))) for n, bound in enumerate(bounds)]
