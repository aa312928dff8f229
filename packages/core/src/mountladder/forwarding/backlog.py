# backlog.py -- How long pieces wait at a stage service
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""How long pieces wait at a stage service."""

from __future__ import annotations

from dataclasses import dataclass

# Requests of this rank and all beyond it are treated alike: three ranks of routes in two of teams.
LAST_RANK = 5


def rank(urgency: int) -> int:
    """Return the rank that an urgency counts as, from 0 to LAST_RANK."""
    return min(max(0, urgency), LAST_RANK)


@dataclass(frozen=True, slots=True)
class Backlog:
    """How long pieces wait at a stage service.

    Attributes:
        service: The service.
        waits_ms: How long new pieces are expected to wait, by the rank of their request.
    """

    service: str
    waits_ms: tuple[float, ...]
