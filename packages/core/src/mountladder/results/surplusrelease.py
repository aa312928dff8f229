# surplusrelease.py -- Releases results that were fetched at servers that need the memory
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Releases results that were fetched at servers that need the memory."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING

from eliot import log_message

from mountladder.forwarding.batchlimits import BatchLimits
from mountladder.metrics.metric import Metric
from mountladder.results.releasableresults import ReleasableResults

if TYPE_CHECKING:
    from mountladder.forwarding.batcher import Batcher


class SurplusRelease:
    """Keeps the fetched results of one batcher, and releases them when memory runs short.

    Args:
        batcher: The batcher that accounts for the results.

    Attributes:
        releasable: The results that are kept.
    """

    def __init__(self, batcher: Batcher) -> None:
        self.batcher = batcher
        self.releasable = ReleasableResults()

    def keep(self, handles: Sequence[str]) -> None:
        """Keep results that servers have fetched until their own servers need the memory."""
        limits = self.batcher.limits()
        if not self.batcher.reserves_results() or limits is None:
            return
        for handle in handles:
            self.releasable.add(handle, self.batcher.result_memory)
        self.check(limits, self.batcher.clock.now())

    def discard(self, handles: Sequence[str]) -> None:
        """Stop keeping results that are released anyway."""
        for handle in handles:
            self.releasable.discard(handle)

    def check(self, limits: BatchLimits, now: float) -> None:
        """Release results at servers with half of their memory in use."""
        if not self.releasable:
            return
        batcher, memory = self.batcher, self.batcher.result_memory
        capacity = limits.result_memory_bytes
        taken = self.releasable.take(memory, capacity, now)
        if not taken:
            return
        # After a restart, a server may give the handles of its lost results to new ones.
        listed = {one.name for one in batcher.servers.division.directory.available(batcher.service)}
        for server, handles in taken.items():
            if server not in listed:
                continue
            batcher.metrics.count(Metric.EARLY_RELEASED_RESULTS, number=len(handles))
            log_message(
                "results-released-early",
                service=batcher.service,
                server=server,
                results=len(handles),
                used_bytes=round(memory.used_bytes(server, now)),
                memory_bytes=round(capacity),
                kept=len(self.releasable),
            )
            batcher.releaser.release(handles)
