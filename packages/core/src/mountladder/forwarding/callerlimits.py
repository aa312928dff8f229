# callerlimits.py -- What callers may send
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""What callers may send, and how long they may take."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What callers may send, and how long they may take.

    Attributes:
        header_bytes: The longest head of a request.
        body_bytes: The longest body.
        header_ms: How long the head may take to come in.
        idle_ms: How long a connection may stay idle.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_ms: float = 3_000.0
    idle_ms: float = 15_000.0
