# weightstore.py -- Stand-in of a weight store that limits concurrent downloads
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Stand-in of a weight store that limits concurrent downloads."""

from __future__ import annotations

from gevent.lock import BoundedSemaphore

from mountladder.clocks.clock import Clock

DOWNLOADS = 2
DOWNLOAD_MS = 2_000.0


class WeightStore:
    """Serves model weights, at most DOWNLOADS at once.

    Args:
        clock: The clock.
        download_ms: How long the download of one model takes.

    Attributes:
        pending: How many downloads run or wait.
        max_pending: The highest number of downloads that ran or waited at once.
    """

    def __init__(self, clock: Clock, download_ms: float = DOWNLOAD_MS) -> None:
        self.clock = clock
        self.download_ms = download_ms
        self.slots = BoundedSemaphore(DOWNLOADS)
        self.pending = 0
        self.max_pending = 0

    def download(self) -> None:
        """Wait for a free download slot and download one model."""
        self.pending += 1
        self.max_pending = max(self.max_pending, self.pending)
        try:
            with self.slots:
                self.clock.sleep(self.download_ms)
        finally:
            self.pending -= 1
