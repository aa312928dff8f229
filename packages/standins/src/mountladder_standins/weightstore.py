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
        asked: How many downloads run or wait.
        most: The highest number of downloads that ran or waited at once.
    """

    def __init__(self, clock: Clock, download_ms: float = DOWNLOAD_MS) -> None:
        self.clock = clock
        self.download_ms = download_ms
        self.room = BoundedSemaphore(DOWNLOADS)
        self.asked = 0
        self.most = 0

    def download(self) -> None:
        """Wait for a free download slot and download one model."""
        self.asked += 1
        self.most = max(self.most, self.asked)
        try:
            with self.room:
                self.clock.sleep(self.download_ms)
        finally:
            self.asked -= 1
