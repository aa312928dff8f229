# arrangement.py -- Waiting pieces in the order of the next calls, and why it changed
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Waiting pieces in the order of the next calls, and why it changed."""

from __future__ import annotations

from dataclasses import dataclass, field

from mountladder.forwarding.jobprogress import JobProgress
from mountladder.sharing.rankfloors import RankFloors


@dataclass(frozen=True, slots=True)
class Arrangement:
    """Waiting pieces in the order of the next calls, and why it changed.

    Attributes:
        waiting: The pieces in their order.
        by_floor: The ids of those that only a floor has brought into the next calls.
        by_team: The ids of those that are in the next calls in place of a team over its share.
        floors: The floors, or None without overload.
        excess_teams: The teams over their share.
    """

    waiting: list[tuple[JobProgress, int]]
    by_floor: frozenset[int] = frozenset()
    by_team: frozenset[int] = frozenset()
    floors: RankFloors | None = None
    excess_teams: frozenset[str] = field(default_factory=frozenset)
