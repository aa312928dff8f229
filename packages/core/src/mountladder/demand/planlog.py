# planlog.py -- Writes log lines about changed plans
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Writes log lines about changed plans."""

from __future__ import annotations

from collections.abc import Mapping

from eliot import log_message

from mountladder.demand.datacentreload import DatacentreLoad
from mountladder.demand.serviceplan import ServicePlan

# The change of a share that is logged, half of what may change in a second.
MIN_CHANGE = 0.05
# The shortest time between two lines about a service, in milliseconds.
INTERVAL_MS = 1_000.0


class PlanLog:
    """Logs plans that differ from those logged before, at most one a second for each service.

    Attributes:
        logged: The shares that were logged last and when, by service.
    """

    def __init__(self) -> None:
        self.logged: dict[str, tuple[Mapping[str, float], float]] = {}

    def write_changes(
        self, service: str, state: ServicePlan, others: Mapping[str, DatacentreLoad], now: float
    ) -> None:
        """Log a plan if it has changed.

        Args:
            service: The service.
            state: Its plan, and the last report of this data centre.
            others: The loads of the other data centres that the plan is made from.
            now: The clock's time.
        """
        plan = state.plan
        before, at = self.logged.get(service, ({}, float("-inf")))
        if now - at < INTERVAL_MS or not has_changed(before, plan.shares):
            return
        self.logged[service] = (plan.shares, now)
        own = state.schedule.last
        log_message(
            "demand-planned",
            service=service,
            plan=plan.version,
            asked_per_s=round(own.asked_per_s, 1) if own else None,
            trend_per_s=round(own.trend_per_s, 1) if own else None,
            capacity_per_s=round(own.capacity_per_s, 1) if own else None,
            demand_per_s={name: round(one.demand_per_s, 1) for name, one in others.items()},
            capacities_per_s={name: round(one.capacity_per_s, 1) for name, one in others.items()},
            ages_ms={name: round(now - one.reported_at) for name, one in others.items()},
            senders=sorted(plan.senders),
            shares={name: round(share, 3) for name, share in plan.shares.items()},
        )


def has_changed(before: Mapping[str, float], now: Mapping[str, float]) -> bool:
    """Return whether a share was added, was removed or has changed by MIN_CHANGE."""
    return before.keys() != now.keys() or any(
        abs(share - before[name]) >= MIN_CHANGE for name, share in now.items()
    )
