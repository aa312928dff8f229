# fetchtime.py -- Estimates when model servers have fetched the stage results of a request
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Estimates when model servers have fetched the stage results of a request."""

from __future__ import annotations

from mountladder.forwarding.linktime import link_ms

# Minimum time from sending a request until its server has asked for the results: the network delay
# and a few engine steps. A value three times as large gave no measurable difference.
MIN_WAIT_MS = 40.0
# Multiple of the transfer time, since the link of the server that holds the results is shared.
SHARED_LINK_FACTOR = 3.0
# The wait doubles when a result was released too early, and then decays slowly.
GROWTH_FACTOR = 2.0
DECAY_FACTOR = 0.98
MAX_FACTOR = 32.0


class FetchTime:
    """Learns how long the stage results of a request must be kept after it was sent.

    A server fetches them before it reads the prompt. Releasing them then, rather than at the first
    event, frees their memory half a second sooner in a burst, when memory is the bottleneck.

    Attributes:
        factor: The learned multiple of the minimum wait.
    """

    def __init__(self) -> None:
        self.factor = 1.0

    def wait_ms(self, size: float, link_mbps: float) -> float:
        """Return how long the results of a request are kept after it was sent, in milliseconds.

        Args:
            size: Their total size in bytes.
            link_mbps: The bandwidth of the links of the servers that made them in Mbit/s, or 0 if
                unknown.
        """
        transfer_ms = SHARED_LINK_FACTOR * link_ms(size, link_mbps) if link_mbps else 0.0
        return self.factor * (MIN_WAIT_MS + transfer_ms)

    def record_fetched(self) -> None:
        """Record that a server fetched the results in time."""
        self.factor = max(1.0, DECAY_FACTOR * self.factor)

    def record_early_release(self) -> None:
        """Record that results were released before a server had fetched them."""
        self.factor = min(MAX_FACTOR, GROWTH_FACTOR * self.factor)
