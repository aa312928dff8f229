# histogram.py -- Quantiles of durations
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Quantiles of durations."""

from __future__ import annotations

from hdrh.histogram import HdrHistogram

HIGHEST_MS = 600_000
SIGNIFICANT_DIGITS = 2
REFRESH_EVERY = 64


class Histogram:
    """Quantiles of durations in milliseconds; a quantile asked for often is worked out seldom."""

    def __init__(self) -> None:
        self.inner = HdrHistogram(1, HIGHEST_MS, SIGNIFICANT_DIGITS)
        self.count = 0
        self.known: dict[float, tuple[int, float]] = {}

    def record(self, value_ms: float) -> None:
        """Add a duration."""
        self.inner.record_value(max(1, min(HIGHEST_MS, round(value_ms))))
        self.count += 1

    def quantile(self, share: float) -> float:
        """Return a quantile in milliseconds, at most some records old.

        Args:
            share: The quantile, from 0 to 1.
        """
        counted, value = self.known.get(share, (0, 0.0))
        if self.count - counted >= min(REFRESH_EVERY, max(1, counted // 4)):
            value = float(self.inner.get_value_at_percentile(share * 100))
            self.known[share] = (self.count, value)
        return value
