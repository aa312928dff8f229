# callerlimits.py -- Limits on the size and duration of callers' requests
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Limits on the size and duration of callers' requests."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size and duration of callers' requests.

    Attributes:
        header_bytes: Maximum size of a request head, in bytes.
        body_bytes: Maximum size of a request body, in bytes.
        header_ms: How long receiving the head may take, in milliseconds.
        idle_ms: How long a connection may stay idle, in milliseconds.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_ms: float = 3_000.0
    idle_ms: float = 15_000.0
