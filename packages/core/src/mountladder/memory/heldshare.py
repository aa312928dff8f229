# heldshare.py -- What one holder holds of an instance's memory
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""What one holder holds of an instance's memory."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HeldShare:
    """What one holder holds of an instance's memory.

    Attributes:
        holder: Identifies the holder.
        bytes: The number of bytes held.
        stalled_ms: How long data has waited without any of it being taken, in milliseconds; 0 if
            no data waits.
    """

    holder: object
    bytes: int
    stalled_ms: float
