# fragileservers.py -- In-memory servers that crash if they reject many requests
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""In-memory servers that crash if they reject many requests."""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from collections.abc import Iterator
from contextlib import contextmanager

from mountladder.clocks.clock import Clock
from mountladder.code import Code
from mountladder.errors import StageError

SECOND_MS = 1_000.0
DOWN_MS = 3_000.0


class FragileServers:
    """Counts what servers have in progress and reject, and has them crash for some seconds.

    Args:
        clock: The clock.

    Attributes:
        max_rejections: How many requests a server can reject in a second, by its name.
        room: How many requests may be in progress at a server, by its name.
        work_ms: How long a request takes there in addition, in milliseconds, by its name.
        running: The number of requests in progress, by the server's name.
        rejected_at: When a server rejected requests within the last second, by its name.
        crashed_at: When each server crashed, by its name.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.max_rejections: dict[str, float] = {}
        self.room: dict[str, int] = {}
        self.work_ms: dict[str, float] = {}
        self.running: Counter[str] = Counter()
        self.rejected_at: dict[str, list[float]] = defaultdict(list)
        self.crashed_at: dict[str, list[float]] = defaultdict(list)

    def is_down(self, name: str) -> bool:
        """Return whether a server has crashed and is not back yet."""
        now = self.clock.now()
        return any(now - at < DOWN_MS for at in self.crashed_at[name])

    def is_full(self, name: str) -> bool:
        """Return whether a server has no room for a further request."""
        return self.running[name] >= self.room.get(name, math.inf)

    @contextmanager
    def request(self, name: str) -> Iterator[None]:
        """Run a request at a server, for as long as the block takes.

        Raises:
            StageError: The server has no room for it, or crashes while it runs.
        """
        if self.is_full(name):
            self.reject(name)
            raise StageError("no room", Code.SERVER_FULL, False)
        crashes = len(self.crashed_at[name])
        self.running[name] += 1
        try:
            yield
            if name in self.work_ms:
                self.clock.sleep(self.work_ms[name])
        finally:
            self.running[name] -= 1
        if len(self.crashed_at[name]) > crashes:
            raise StageError("the server has crashed", Code.STREAM_CUT)

    def reject(self, name: str) -> None:
        """Record a rejection, after which the server may crash."""
        now = self.clock.now()
        recent = [at for at in self.rejected_at[name] if now - at < SECOND_MS]
        self.rejected_at[name] = [*recent, now]
        if len(recent) >= self.max_rejections.get(name, math.inf):
            self.rejected_at[name] = []
            self.crashed_at[name].append(now)
