# linktime.py -- Transfer time and bandwidth of a network link
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Transfer time and bandwidth of a network link."""

from __future__ import annotations

BITS_PER_BYTE = 8
BITS_PER_KILOBIT = 1_000
BITS_PER_MEGABIT = 1_000_000


def link_ms(size: float, link_mbps: float) -> float:
    """Return how long a transfer of `size` bytes takes over a link, in milliseconds."""
    # 1 Mbit/s is 1 kbit/ms.
    return size * BITS_PER_BYTE / BITS_PER_KILOBIT / link_mbps


def link_bytes_per_s(link_mbps: float) -> float:
    """Return how many bytes a link transfers in a second."""
    return link_mbps * BITS_PER_MEGABIT / BITS_PER_BYTE
