# weightstore.py -- A stand-in of the rate-limited weight store
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A stand-in of the rate-limited weight store."""

from __future__ import annotations

from gevent.lock import BoundedSemaphore

from mountladder.clocks.clock import Clock

DOWNLOADS = 2
DOWNLOAD_MS = 2_000.0


class WeightStore:
    """Hands out model weights, few at a time.

    Args:
        clock: The clock.
        download_ms: How long one model takes.

    Attributes:
        most: The most downloads that were asked for at once.
    """

    def __init__(self, clock: Clock, download_ms: float = DOWNLOAD_MS) -> None:
        self.clock = clock
        self.download_ms = download_ms
        self.room = BoundedSemaphore(DOWNLOADS)
        self.asked = 0
        self.most = 0

    def download(self) -> None:
        """Download one model."""
        self.asked += 1
        self.most = max(self.most, self.asked)
        try:
            with self.room:
                self.clock.sleep(self.download_ms)
        finally:
            self.asked -= 1
