# teamusage.py -- Recent work of each team compared with its share
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Recent work of each team compared with its share."""

from __future__ import annotations

from mountladder.clocks.clock import Clock
from mountladder.configuration.team import Team

HALF_LIFE_MS = 2_000.0
MIN_WORK_MS = 1e-6


class TeamUsage:
    """Tracks the recently admitted work of each team, compared with its share.

    Each instance counts only the work that it admitted itself. Callers are spread over the
    instances, so this approximates the total without messages between them.

    Args:
        clock: The clock.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.work: dict[str, float] = {}
        self.shares: dict[str, float] = {}
        self.decayed_at = 0.0

    def add(self, team: Team, work_ms: float) -> None:
        """Record work that is admitted for a team, in milliseconds of stage time."""
        self.decay()
        self.work[team.name] = self.work.get(team.name, 0.0) + work_ms
        self.shares[team.name] = team.share

    def excess(self, team: Team) -> float:
        """Return the ratio of a team's fraction of the work to its share among active teams.

        1 is exactly its share; a single active team never exceeds it.
        """
        self.decay()
        total = sum(self.work.values())
        if not total:
            return 0.0
        shares = sum(self.shares.values())
        if team.name not in self.shares:
            shares += team.share
        fraction = self.work.get(team.name, 0.0) / total
        return fraction / (team.share / shares)

    def decay(self) -> None:
        """Decay the recorded work, and drop teams that have almost none left."""
        now = self.clock.now()
        factor = 0.5 ** ((now - self.decayed_at) / HALF_LIFE_MS)
        self.decayed_at = now
        for name in list(self.work):
            self.work[name] *= factor
            if self.work[name] < MIN_WORK_MS:
                del self.work[name]
                del self.shares[name]
