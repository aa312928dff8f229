# teamshares.py -- Teams that have had more than their fair share of the servers' time
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Teams that have had more than their fair share of the servers' time."""

from __future__ import annotations

import math
from collections.abc import Mapping, Set
from dataclasses import dataclass

# A team gives way only above this multiple of its fair share. The sums of a team with a few
# requests a second vary by about half from one two-second window to the next.
EXCESS_FACTOR = 1.5


@dataclass(frozen=True, slots=True)
class TeamShares:
    """Divides the recent time of the servers among teams, by max-min fairness.

    Handles a team that sends ten times its share while others wait. A team that does not wait had
    all that it asked for. How much more a waiting team asks for is not known, as requests are
    refused elsewhere, so all waiting teams are due the same.

    Attributes:
        used_ms: The servers' time that each team has had recently, in milliseconds.
        waiting: The teams that have waiting pieces.
    """

    used_ms: Mapping[str, float]
    waiting: Set[str]

    def fair_ms(self) -> float:
        """Return the fair share of each waiting team, in milliseconds; infinite if none waits."""
        satisfied = sorted(used for team, used in self.used_ms.items() if team not in self.waiting)
        teams = len(satisfied) + len(self.waiting)
        left_ms = sum(self.used_ms.values())
        for index, used_ms in enumerate(satisfied):
            equal_ms = left_ms / (teams - index)
            if used_ms > equal_ms:
                return equal_ms
            left_ms -= used_ms
        return left_ms / len(self.waiting) if self.waiting else math.inf

    def excess(self) -> frozenset[str]:
        """Return the waiting teams that have had more than EXCESS_FACTOR times the fair share."""
        if len(self.waiting) < 2:
            return frozenset()
        limit_ms = EXCESS_FACTOR * self.fair_ms()
        return frozenset(one for one in self.waiting if self.used_ms.get(one, 0.0) > limit_ms)
