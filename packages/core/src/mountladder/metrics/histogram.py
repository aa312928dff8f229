# histogram.py -- Histogram of durations with cached quantiles
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Histogram of durations with cached quantiles."""

from __future__ import annotations

from hdrh.histogram import HdrHistogram

HIGHEST_MS = 600_000
SIGNIFICANT_DIGITS = 2
# A cached quantile is recomputed after this many records, earlier while there are few.
REFRESH_EVERY = 64


class Histogram:
    """Durations in milliseconds; quantiles are cached and recomputed after a number of records."""

    def __init__(self) -> None:
        self.inner = HdrHistogram(1, HIGHEST_MS, SIGNIFICANT_DIGITS)
        self.count = 0
        self.known: dict[float, tuple[int, float]] = {}

    def record(self, value_ms: float) -> None:
        """Add a duration."""
        self.inner.record_value(max(1, min(HIGHEST_MS, round(value_ms))))
        self.count += 1

    def quantile(self, share: float) -> float:
        """Return a quantile in milliseconds, which may lack the latest records.

        Args:
            share: The quantile, from 0 to 1.
        """
        counted, value = self.known.get(share, (0, 0.0))
        if self.count - counted >= min(REFRESH_EVERY, max(1, counted // 4)):
            value = float(self.inner.get_value_at_percentile(share * 100))
            self.known[share] = (self.count, value)
        return value
