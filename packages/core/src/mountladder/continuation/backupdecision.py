# backupdecision.py -- Whether a stream gets a copy, and the inputs of that decision
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Whether a stream gets a copy, and the inputs of that decision."""

from __future__ import annotations

from dataclasses import dataclass

from mountladder.clocks.timer import MS_PER_SECOND


@dataclass(frozen=True, slots=True)
class BackupDecision:
    """Whether a stream gets a copy of its cache at a second server, and why.

    Attributes:
        tokens: The number of tokens of its prompt and of its answer at most.
        size: The size of the copy in bytes.
        at_risk_ms: How long the stream is expected to run after its first event, in milliseconds.
        max_bytes_per_s: The most bytes that a second at risk is worth.
        samples: The number of streams that the expected time was learned from.
    """

    tokens: int
    size: float
    at_risk_ms: float
    max_bytes_per_s: float
    samples: int

    @property
    def bytes_per_s(self) -> float:
        """Return the bytes that are copied for each second at risk."""
        return self.size / max(1.0, self.at_risk_ms) * MS_PER_SECOND

    @property
    def wanted(self) -> bool:
        """Return whether the stream is to get a copy."""
        return self.bytes_per_s <= self.max_bytes_per_s
