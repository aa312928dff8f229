# prefillplan.py -- Split of a prompt into tokens to prefill and tokens to fetch
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Split of a prompt into tokens to prefill and tokens to fetch."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PrefillPlan:
    """Which tokens of a prompt a model server would prefill and which it would fetch.

    Attributes:
        prefill_tokens: The number of tokens that it would prefill.
        cached_elsewhere: How many of these another server has cached.
        uncached_shared: How many of these belong to shared parts that no server is known to
            have cached.
        fetch_ms: The time of fetching cached tokens from another server, in milliseconds.
        source: The address of that server, or an empty string.
    """

    prefill_tokens: int
    cached_elsewhere: int = 0
    uncached_shared: int = 0
    fetch_ms: float = 0.0
    source: str = ""
