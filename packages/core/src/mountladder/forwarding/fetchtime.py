# fetchtime.py -- When model servers have fetched the results that a request needs
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""When model servers have fetched the results that a request needs."""

from __future__ import annotations

from mountladder.forwarding.linktime import link_ms

# From sending a request until its server has asked for the results: some steps of an engine and
# the way there. Three times as much buys as much within the spread.
LEAST_MS = 40.0
# The link of the server that made them also carries the results of others.
SHARED_LINK = 3.0
# After a result was given up too early the wait is doubled, and shrinks slowly afterwards.
LONGER = 2.0
SHORTER = 0.98
MOST_FACTOR = 32.0


class FetchTime:
    """Learns how long after a request was sent its server still needs the results of stages.

    A server fetches them before it reads the prompt. Results that are given up then, and not only
    at the first event, leave their room to others half a second sooner in a burst, where room is
    what binds.

    Attributes:
        factor: How many times the least wait is waited.
    """

    def __init__(self) -> None:
        self.factor = 1.0

    def wait_ms(self, size: float, link_mbps: float) -> float:
        """Return how long after the sending the results of a request are kept.

        Args:
            size: The bytes of all of them.
            link_mbps: The bandwidth of the links of the servers that made them, or 0.
        """
        moving_ms = SHARED_LINK * link_ms(size, link_mbps) if link_mbps else 0.0
        return self.factor * (LEAST_MS + moving_ms)

    def fetched(self) -> None:
        """Learn that a server had what it needed."""
        self.factor = max(1.0, SHORTER * self.factor)

    def too_early(self) -> None:
        """Learn that results were given up before a server had fetched them."""
        self.factor = min(MOST_FACTOR, LONGER * self.factor)
