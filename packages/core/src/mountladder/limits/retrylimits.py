# retrylimits.py -- How many retries one instance may make
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""How many retries one instance may make."""

from __future__ import annotations

from dataclasses import dataclass

# How an instance divides its part of the reserve: what it can save up from requests, and what it
# may take in each window besides. The rest is for retries that arrive at their server in a later
# window than they were allowed in.
SAVED_FRACTION = 0.25
WINDOW_FRACTION = 0.7


@dataclass(frozen=True, slots=True)
class RetryLimits:
    """How many retries one instance may make for a service.

    Attributes:
        ratio: The number of retries that each request allows.
        window_ms: The length of the window in which retries are counted, in milliseconds.
        reserve: This instance's part of the retries that are allowed besides.
    """

    ratio: float
    window_ms: float
    reserve: float

    @property
    def max_saved(self) -> float:
        """Return how many retries can be saved up from requests.

        That is at least one, since otherwise a small part of the reserve would never allow any.
        """
        return max(1.0, SAVED_FRACTION * self.reserve) if self.ratio else 0.0

    @property
    def per_window(self) -> float:
        """Return how many retries may be taken from the reserve in a window."""
        whole = (SAVED_FRACTION + WINDOW_FRACTION) * self.reserve
        return max(0.0, whole - self.max_saved)
