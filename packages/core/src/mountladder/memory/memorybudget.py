# memorybudget.py -- How many bytes an instance may hold for others
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""How many bytes an instance may hold for others."""

from __future__ import annotations

from dataclasses import dataclass

BYTES_PER_MB = 1_000_000.0
# The fraction of the process's memory for what is not counted: bytes that are copied while they are
# joined or written, and memory that the allocator cannot reuse.
MARGIN_FRACTION = 0.25
# The budget is never less than this fraction of the process's memory. Otherwise an instance whose
# memory is scarce even at rest would refuse every request.
MIN_FRACTION = 0.1
# Above this fraction new requests are refused. The rest is for the answers to those in progress.
REFUSE_FRACTION = 0.7
# Above CUT_FRACTION connections are ended until the usage is down to CUT_TO_FRACTION. It is below
# the whole budget since ended connections release their bytes only a moment later.
CUT_FRACTION = 0.9
CUT_TO_FRACTION = 0.8


@dataclass(frozen=True, slots=True)
class MemoryBudget:
    """How many bytes an instance may hold for others.

    Attributes:
        bytes: The number of bytes.
    """

    bytes: float

    @classmethod
    def of(cls, memory_mb: float, rest_bytes: float) -> MemoryBudget:
        """Return the budget of a process by its memory and what it uses at rest."""
        total = memory_mb * BYTES_PER_MB
        return cls(max(MIN_FRACTION * total, (1.0 - MARGIN_FRACTION) * total - rest_bytes))

    @property
    def refuse_above(self) -> float:
        """Return the number of held bytes above which new requests are refused."""
        return REFUSE_FRACTION * self.bytes

    @property
    def cut_above(self) -> float:
        """Return the number of held bytes above which connections are ended."""
        return CUT_FRACTION * self.bytes

    @property
    def cut_to(self) -> float:
        """Return the number of held bytes down to which connections are ended."""
        return CUT_TO_FRACTION * self.bytes
