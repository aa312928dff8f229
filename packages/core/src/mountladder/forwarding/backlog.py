# backlog.py -- Expected waiting times of pieces at a stage service, by priority class
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Expected waiting times of pieces at a stage service, by priority class."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from mountladder.admission.attemptkind import AttemptKind

# Higher ranks count as this one: three ranks of routes within each of two ranks of teams.
MAX_RANK = 5
# Priority classes of queued pieces: first those that can be on time, by rank. Behind all of them
# those that can't and therefore give way: retries that return as they were told, first attempts by
# rank up to the last one of a single team's routes, and retries that return too early.
CLASS_RETURNING = MAX_RANK + 1
FIRST_CLASS_GIVING_WAY = CLASS_RETURNING + 1
LAST_RANK_GIVING_WAY = 2
CLASS_EARLY_RETURNING = FIRST_CLASS_GIVING_WAY + LAST_RANK_GIVING_WAY + 1
PRIORITY_CLASSES = range(CLASS_EARLY_RETURNING + 1)


def rank(urgency: int) -> int:
    """Return an urgency's rank, limited to 0 to MAX_RANK."""
    return min(max(0, urgency), MAX_RANK)


def priority_class(urgency: int, gives_way: bool, attempt: AttemptKind = AttemptKind.FIRST) -> int:
    """Return the priority class of pieces in a queue, one of PRIORITY_CLASSES."""
    if not gives_way:
        return rank(urgency)
    if attempt is AttemptKind.RETURN:
        return CLASS_RETURNING
    if attempt is AttemptKind.EARLY_RETURN:
        return CLASS_EARLY_RETURNING
    return FIRST_CLASS_GIVING_WAY + min(rank(urgency), LAST_RANK_GIVING_WAY)


def late_group(urgency: int, attempt: AttemptKind) -> int:
    """Return the place of pieces that give way in the order of the queue; 0 goes first."""
    return attempt.place * (MAX_RANK + 1) + rank(urgency)


def value_for_rank(values: Sequence[float], urgency: int) -> float:
    """Return the value for an urgency's rank; the last value holds for all ranks beyond it."""
    return values[min(rank(urgency), len(values) - 1)]


@dataclass(frozen=True, slots=True)
class Backlog:
    """Expected waits of new pieces at a stage service.

    Attributes:
        service: The service.
        waits_ms: The expected waits in milliseconds, by priority class.
        local_waits_ms: For a divided service, the expected waits if no piece is sent to another
            data centre; empty otherwise.
    """

    service: str
    waits_ms: tuple[float, ...]
    local_waits_ms: tuple[float, ...] = ()
