# batchlimits.py -- Capacity and call times of one server of a stage service
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Capacity and call times of one server of a stage service."""

from __future__ import annotations

from dataclasses import dataclass

BYTES_PER_MB = 1_000_000.0


@dataclass(frozen=True, slots=True)
class BatchLimits:
    """Capacity of one backend server of a stage service, and the approximate time of its calls.

    Attributes:
        calls: The number of calls it runs concurrently.
        waiting: The number of calls that may wait there.
        pieces: The maximum number of pieces in a call.
        call_ms: The fixed time of a call in milliseconds.
        piece_ms: The approximate time that each piece adds, in milliseconds; it differs by stage.
        result_memory_mb: The memory for results, in megabytes.
        result_ttl_ms: How long a result is kept, in milliseconds.
        link_mbps: The bandwidth of its link in Mbit/s, or 0 if unknown.
    """

    calls: int
    waiting: int
    pieces: int
    call_ms: float
    piece_ms: float
    result_memory_mb: float
    result_ttl_ms: float
    link_mbps: float = 0.0

    @property
    def result_memory_bytes(self) -> float:
        """Return the memory for results in bytes."""
        return self.result_memory_mb * BYTES_PER_MB

    def expected_ms(self, pieces: int) -> float:
        """Return the approximate time of a call with a number of pieces, in milliseconds."""
        return self.call_ms + pieces * self.piece_ms
