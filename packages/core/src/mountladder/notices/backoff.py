# backoff.py -- Notice that asks one instance to back off from a backend server
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Notice that asks one instance to back off from a backend server."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class BackOff:
    """Notice that a backend server wants no requests from the answered instance for a time.

    Attributes:
        for_ms: The length of the back-off, from the answer on, in milliseconds.
    """

    for_ms: float
