# batchlimits.py -- What a server of a stage service takes at once
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""What a server of a stage service takes at once."""

from __future__ import annotations

from dataclasses import dataclass

BYTES_PER_MB = 1_000_000.0


@dataclass(frozen=True, slots=True)
class BatchLimits:
    """What one backend server of a stage service takes, and about how long it needs.

    Attributes:
        calls: How many calls it works on at once.
        waiting: How many calls may wait there.
        pieces: The most pieces in one call.
        call_ms: What a call takes before its first piece.
        piece_ms: About what each piece adds; it differs by stage.
        room_mb: The room for results, in megabytes.
        kept_ms: How long a result is kept.
        link_mbps: The bandwidth of its link in Mbit/s, or 0 where that is not known.
    """

    calls: int
    waiting: int
    pieces: int
    call_ms: float
    piece_ms: float
    room_mb: float
    kept_ms: float
    link_mbps: float = 0.0

    @property
    def room_bytes(self) -> float:
        """Return the room for results in bytes."""
        return self.room_mb * BYTES_PER_MB

    def expected_ms(self, pieces: int) -> float:
        """Return about how long a call with some pieces takes."""
        return self.call_ms + pieces * self.piece_ms
