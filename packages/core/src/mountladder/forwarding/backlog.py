# backlog.py -- How long pieces wait at a stage service
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""How long pieces wait at a stage service."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

# Requests of this rank and all beyond it are treated alike: three ranks of routes in two of teams.
LAST_RANK = 5
# Places of pieces: those that can be on time by their rank, and behind all of them those that give
# way, by their rank up to the last of one team's routes.
GIVES_WAY = LAST_RANK + 1
LAST_GIVING_WAY = 2
PLACES = range(GIVES_WAY + LAST_GIVING_WAY + 1)


def rank(urgency: int) -> int:
    """Return the rank that an urgency counts as, from 0 to LAST_RANK."""
    return min(max(0, urgency), LAST_RANK)


def place(urgency: int, gives_way: bool) -> int:
    """Return the place of pieces in a queue, one of PLACES."""
    if gives_way:
        return GIVES_WAY + min(rank(urgency), LAST_GIVING_WAY)
    return rank(urgency)


def by_rank(figures: Sequence[float], urgency: int) -> float:
    """Return the figure of an urgency's rank; the last one stands for all ranks beyond it."""
    return figures[min(rank(urgency), len(figures) - 1)]


@dataclass(frozen=True, slots=True)
class Backlog:
    """How long pieces wait at a stage service.

    Attributes:
        service: The service.
        waits_ms: How long new pieces are expected to wait, by their place, one for each of PLACES.
        own_ms: The same if all stay in their data centre, where the service is divided; else empty.
    """

    service: str
    waits_ms: tuple[float, ...]
    own_ms: tuple[float, ...] = ()
