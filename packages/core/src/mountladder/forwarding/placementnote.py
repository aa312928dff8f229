# placementnote.py -- What became of a prompt that was placed
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""What became of a prompt that was placed."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PlacementNote:
    """What became of a prompt that was placed.

    Attributes:
        number: The number of its order.
        read_ms: How long its server took to the first event, or 0 where it has not come.
        ended: Whether the server is done with it.
        gone: Whether the server could not be reached, or another one was there in its place.
    """

    number: int
    read_ms: float
    ended: bool
    gone: bool = False
