# refuseddemand.py -- Message that tells a coordinator what was refused elsewhere
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Message that tells a coordinator what was refused elsewhere."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RefusedDemand:
    """Tells the coordinator of a stage service how much work for it an instance has refused.

    Attributes:
        service: The service.
        pieces: The number of pieces of refused requests since the last message, by rank, the most
            urgent first.
    """

    service: str
    pieces: tuple[int, ...]
