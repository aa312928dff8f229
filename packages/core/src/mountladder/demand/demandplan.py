# demandplan.py -- Plans which share of a data centre's pieces others serve
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Plans which share of a data centre's pieces others serve."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from mountladder.clocks.timer import MS_PER_SECOND
from mountladder.demand.datacentreload import DatacentreLoad
from mountladder.demand.reporttable import REPORT_TTL_MS

# Load above which a data centre begins to send work to others. Between this and FULL_LOAD calls
# are full, but pieces rarely wait for more than one call.
BEGIN_LOAD = 0.95
# Load below which a data centre may be sent work, and no longer sends any. The distance to
# BEGIN_LOAD keeps demand that varies by chance from starting and ending a plan again and again.
END_LOAD = 0.8
# By how much a share may change in a second: as fast as demand that rises and falls by half within
# some 20 s. What reports of different age suggest changes faster than that.
MAX_CHANGE_PER_S = 0.1
# The longest time for which a change counts, in milliseconds, two plans. After a longer pause of
# the process the shares continue from where they were.
MAX_STEP_MS = 1_000.0


@dataclass(frozen=True, slots=True)
class DemandPlan:
    """The shares of the pieces asked for in a data centre that are sent to others.

    The load it handles: data centres whose demand rises and falls in turn, callers that move
    between data centres, and data centres that lose their servers.

    Attributes:
        version: The number of plans before this one.
        made_at: When it was made, in the clock's milliseconds.
        senders: The data centres that send work to others.
        shares: The fraction of the pieces that is sent to each data centre, without zeros.
        reported_at: When those data centres reported, in the clock's milliseconds.
    """

    version: int = 0
    made_at: float = float("-inf")
    senders: frozenset[str] = frozenset()
    shares: Mapping[str, float] = field(default_factory=dict)
    reported_at: Mapping[str, float] = field(default_factory=dict)

    def revised(self, here: str, loads: Mapping[str, DatacentreLoad], now: float) -> DemandPlan:
        """Return the next plan.

        Args:
            here: The data centre whose pieces are planned.
            loads: The loads of the data centres whose reports are recent and which can be reached,
                this one included.
            now: The clock's time.
        """
        senders = frozenset(name for name, one in loads.items() if self.sends(name, one))
        wanted = wanted_shares(here, loads, senders)
        step = MAX_CHANGE_PER_S * min(now - self.made_at, MAX_STEP_MS) / MS_PER_SECOND
        shares = {
            name: limited(wanted.get(name, 0.0), self.shares.get(name, 0.0), step)
            for name, one in loads.items()
            # Work for a data centre without servers is not reduced gradually.
            if name != here and one.capacity_per_s > 0.0
        }
        shares = {name: share for name, share in shares.items() if share > 0.0}
        reported_at = {name: loads[name].reported_at for name in shares}
        return DemandPlan(self.version + 1, now, senders, shares, reported_at)

    def sends(self, datacentre: str, load: DatacentreLoad) -> bool:
        """Return whether a data centre sends work, given its load; a sender continues longer."""
        return load.load > BEGIN_LOAD or (datacentre in self.senders and load.load >= END_LOAD)

    def valid_shares(self, now: float) -> dict[str, float]:
        """Return the shares that rest on reports which have not expired."""
        return {
            name: share
            for name, share in self.shares.items()
            if now - self.reported_at[name] <= REPORT_TTL_MS
        }


def wanted_shares(
    here: str, loads: Mapping[str, DatacentreLoad], senders: frozenset[str]
) -> dict[str, float]:
    """Return the shares that would bring all data centres to at most FULL_LOAD.

    If the others have less room than all senders need, each sends the same fraction of its excess.
    """
    if here not in senders:
        return {}
    excess = sum(loads[name].excess_per_s for name in senders)
    rooms = {name: one.room_per_s for name, one in loads.items() if one.load < END_LOAD}
    room = sum(rooms.values())
    if excess <= 0.0 or room <= 0.0:
        return {}
    own = loads[here]
    sent = own.excess_per_s * min(1.0, room / excess) / own.demand_per_s
    return {name: sent * one / room for name, one in rooms.items()}


def limited(wanted: float, before: float, step: float) -> float:
    """Return a share that has moved from the one before toward the wanted one by at most a step."""
    return min(max(wanted, before - step), before + step)
