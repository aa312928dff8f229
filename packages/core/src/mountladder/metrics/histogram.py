# histogram.py -- Histogram of durations with cached quantiles
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Histogram of durations with cached quantiles."""

from __future__ import annotations

from hdrh.histogram import HdrHistogram

MAX_MS = 600_000
SIGNIFICANT_DIGITS = 2
# A cached quantile is recomputed after this many records, earlier while there are few.
REFRESH_RECORDS = 64


class Histogram:
    """Durations in milliseconds; quantiles are cached and recomputed after a number of records."""

    def __init__(self) -> None:
        self.hdr = HdrHistogram(1, MAX_MS, SIGNIFICANT_DIGITS)
        self.count = 0
        self.cached: dict[float, tuple[int, float]] = {}

    def record(self, value_ms: float) -> None:
        """Add a duration."""
        self.hdr.record_value(max(1, min(MAX_MS, round(value_ms))))
        self.count += 1

    def quantile(self, fraction: float) -> float:
        """Return a quantile in milliseconds, which may lack the latest records.

        Args:
            fraction: The quantile, from 0 to 1.
        """
        cached_count, value = self.cached.get(fraction, (0, 0.0))
        if self.count - cached_count >= min(REFRESH_RECORDS, max(1, cached_count // 4)):
            value = float(self.hdr.get_value_at_percentile(fraction * 100))
            self.cached[fraction] = (self.count, value)
        return value
