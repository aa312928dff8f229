# demandmeter.py -- How much callers of one data centre ask of a service, and how that changes
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""How much callers of one data centre ask of a service, and how that changes."""

from __future__ import annotations

from collections import deque

from mountladder.clocks.timer import MS_PER_SECOND

# The time over which the rate is measured, in milliseconds: some dozens of stages, and a small part
# of the time in which the demand of a data centre rises and falls.
WINDOW_MS = 2_000.0
# The time over which the trend is measured, in milliseconds: its first and its last WINDOW_MS are
# compared, so that chance in one of them changes the demand foreseen by a few percent only.
TREND_MS = 6_000.0
# Arrivals are summed over this time, in milliseconds, so that a meter holds 60 numbers at any rate.
BUCKET_MS = 100.0
_WINDOW_BUCKETS = round(WINDOW_MS / BUCKET_MS)
_TREND_BUCKETS = round(TREND_MS / BUCKET_MS)


class DemandMeter:
    """Measures the pieces that callers of one data centre ask for.

    The load it handles: demand that rises and falls within seconds. Work counts in the data centre
    of its callers, wherever it runs, so that sending it elsewhere does not change what is measured.

    Args:
        since: When the measurement begins, in the clock's milliseconds.

    Attributes:
        buckets: The number of each bucket with arrivals in the last TREND_MS, and its pieces.
    """

    def __init__(self, since: float) -> None:
        self.since = since
        self.buckets: deque[tuple[int, int]] = deque()

    def record(self, pieces: int, now: float) -> None:
        """Record pieces that were asked for."""
        bucket = int(now // BUCKET_MS)
        if self.buckets and self.buckets[-1][0] == bucket:
            pieces += self.buckets.pop()[1]
        self.buckets.append((bucket, pieces))
        self.drop_old(bucket)

    def drop_old(self, bucket: int) -> None:
        """Drop the buckets that are too old for the trend, counted from the current one."""
        while self.buckets and self.buckets[0][0] <= bucket - _TREND_BUCKETS:
            self.buckets.popleft()

    def is_complete(self, now: float) -> bool:
        """Return whether the measurement is long enough for a rate."""
        return now - self.since >= WINDOW_MS

    def rate_per_s(self, now: float) -> float:
        """Return the pieces asked for per second over the last WINDOW_MS."""
        bucket = int(now // BUCKET_MS)
        # The current bucket counts for the part of it that has passed.
        span_ms = (_WINDOW_BUCKETS - 1) * BUCKET_MS + now % BUCKET_MS
        return self.sum_between(bucket - _WINDOW_BUCKETS, bucket) * MS_PER_SECOND / span_ms

    def trend_per_s(self, now: float) -> float:
        """Return by how much the rate rises in a second; 0 until it is known over TREND_MS."""
        if now - self.since < TREND_MS:
            return 0.0
        bucket = int(now // BUCKET_MS)
        self.drop_old(bucket)
        first = bucket - _TREND_BUCKETS
        before_per_s = self.sum_between(first, first + _WINDOW_BUCKETS) * MS_PER_SECOND / WINDOW_MS
        return (self.rate_per_s(now) - before_per_s) * MS_PER_SECOND / (TREND_MS - WINDOW_MS)

    def sum_between(self, after: int, last: int) -> int:
        """Return the pieces in the buckets after one, up to the last one."""
        return sum(pieces for bucket, pieces in self.buckets if after < bucket <= last)
