# lapsingbytes.py -- Memory of a server that is assumed to become free over time
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Memory of a server that is assumed to become free over time."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LapsingBytes:
    """Memory of a server that is assumed to become free linearly over time.

    Attributes:
        size: The memory in use at first, in bytes.
        since: When that was so.
        until: When all of it is free.
    """

    size: float
    since: float
    until: float

    def used(self, now: float) -> float:
        """Return the memory still in use, in bytes."""
        if now >= self.until:
            return 0.0
        return self.size * (self.until - now) / (self.until - self.since)
