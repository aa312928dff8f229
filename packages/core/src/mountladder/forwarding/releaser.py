# releaser.py -- Giving up results of stages
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Giving up results of stages."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import gevent

from mountladder.clocks.clock import Clock
from mountladder.forwarding.directory import Directory
from mountladder.forwarding.upstream import Upstream

# Results are given up in batches: soon enough that a server's room for results does not fill.
RELEASE_MS = 25.0


class Releaser:
    """Tells servers which results of stages are no longer needed, many in one call.

    Args:
        upstream: Calls the servers.
        directory: Knows whose servers are to get nothing; what they keep is left to lapse there.
        clock: The clock.
        freed: Called with the handles once the servers have dropped the results.
    """

    def __init__(
        self,
        upstream: Upstream,
        directory: Directory,
        clock: Clock,
        freed: Callable[[Sequence[str]], None],
    ) -> None:
        self.upstream = upstream
        self.directory = directory
        self.clock = clock
        self.freed = freed
        self.handles: list[str] = []
        self.cancel: Callable[[], None] | None = None

    def release(self, handles: Sequence[str]) -> None:
        """Give up results soon."""
        self.handles += [handle for handle in handles if handle]
        if self.handles and self.cancel is None:
            self.cancel = self.clock.call_later(RELEASE_MS, self.flush)

    def flush(self) -> None:
        """Give up what has been gathered."""
        self.cancel = None
        handles, self.handles = self.handles, []
        if handles:
            gevent.spawn(self.free, handles)

    def free(self, handles: Sequence[str]) -> None:
        """Give up results, and tell when that is done."""
        drained = self.directory.drained_addresses()
        given_up = [one for one in handles if one.partition("/")[0] not in drained]
        self.upstream.free(given_up)
        self.freed(given_up)
