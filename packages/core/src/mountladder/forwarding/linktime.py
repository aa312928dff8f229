# linktime.py -- How long bytes take over a link
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""How long bytes take over a link."""

from __future__ import annotations

BITS_PER_BYTE = 8
BITS_PER_KILOBIT = 1_000


def link_ms(size: float, link_mbps: float) -> float:
    """Return how long some bytes take over a link of some Mbit/s, in milliseconds."""
    # A megabit a second is a kilobit a millisecond.
    return size * BITS_PER_BYTE / BITS_PER_KILOBIT / link_mbps
