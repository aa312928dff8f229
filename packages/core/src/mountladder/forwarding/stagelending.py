# stagelending.py -- Decides which stages are lent to other data centres, and accounts for them
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Decides which stages are lent to other data centres, and accounts for them."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping

from eliot import log_message

from mountladder.clocks.clock import Clock
from mountladder.demand.demandplans import DemandPlans
from mountladder.forwarding.batcher import Batcher
from mountladder.forwarding.fleet import Fleet
from mountladder.forwarding.lending import Lending
from mountladder.forwarding.stagejob import StageJob
from mountladder.forwarding.stagenotice import StageNotice
from mountladder.membership.link import Link
from mountladder.metrics.metric import Metric


class StageLending:
    """Decides for each stage of a divided service whether another data centre runs it.

    A stage is lent if the plan says so, or else if it would begin much sooner elsewhere by current
    backlogs.

    Args:
        fleet: The other instances.
        batcher: Returns the batcher of a service.
        lending: Holds the backlogs of other data centres.
        clock: The clock.

    Attributes:
        plans: The plans of the services coordinated here.
    """

    def __init__(
        self, fleet: Fleet, batcher: Callable[[str], Batcher], lending: Lending, clock: Clock
    ) -> None:
        self.fleet = fleet
        self.batcher = batcher
        self.lending = lending
        self.clock = clock
        self.plans = DemandPlans(clock)

    def choose(self, job: StageJob, coordinators: Mapping[str, Link]) -> str:
        """Return the data centre to lend a stage to, or an empty string to run it here."""
        if not coordinators:
            return ""
        batcher = self.batcher(job.service)
        now = self.clock.now()
        local_wait_ms = math.inf
        if self.fleet.division.has_local_servers(job.service):
            local_wait_ms = batcher.compute_backlog(now).waits_ms[job.priority_class(now)]
        allowed = self.allowed(job, local_wait_ms, coordinators)
        target = planned = self.plans.choose(job.service, job.pieces, allowed)
        if not planned:
            target = self.lending.choose(job, local_wait_ms, coordinators)
        if target and batcher.limits() is not None:
            self.account(job, target, local_wait_ms, bool(planned))
        return target

    def allowed(
        self, job: StageJob, local_wait_ms: float, coordinators: Mapping[str, Link]
    ) -> list[str]:
        """Return the data centres to which the plan may send a stage.

        A stage with large inputs stays with them. Others are not sent to a data centre whose
        backlog is unknown, or where they would begin much later: the plan did not foresee that.
        """
        if job.datacentre or not self.plans.has_shares(job.service):
            return []
        priority = job.priority_class(self.clock.now())
        return [
            name
            for name in coordinators
            if self.lending.begins_about_as_soon(job.service, name, priority, local_wait_ms)
        ]

    def account(
        self, job: StageJob, datacentre: str, local_wait_ms: float, is_planned: bool
    ) -> None:
        """Log that a stage is lent, and count its pieces where they run."""
        batcher = self.batcher(job.service)
        limits = batcher.limits()
        priority = job.priority_class(self.clock.now())
        log_message(
            "stage-lent",
            request=job.request,
            service=job.service,
            pieces=job.pieces,
            datacentre=datacentre,
            preferred=job.datacentre,
            local_wait_ms=_rounded(local_wait_ms),
            remote_wait_ms=_rounded(self.lending.wait_ms(job.service, datacentre, priority)),
            **self.plans.describe(job.service, datacentre, is_planned),
        )
        servers = self.fleet.division.count(job.service, datacentre)
        piece_ms = limits.expected_ms(limits.pieces) / (limits.pieces * max(1, servers))
        self.lending.lend(job, datacentre, piece_ms)
        self.plans.record_sent(job.service, datacentre, job.pieces)
        if is_planned:
            # Planned pieces do not arrive here, so that waits must not be predicted with them.
            notice = StageNotice(
                job.request, job.stage, job.service, 0, job.urgency, job.gives_way(self.clock.now())
            )
            batcher.demand.announce(notice)
            self.fleet.metrics.count(Metric.PLANNED_PIECES, number=job.pieces)
        else:
            batcher.demand.record_arrival(job)


def _rounded(wait_ms: float) -> float:
    """Return a wait in whole milliseconds; infinite if it is not known or there is no server.

    A stage is lent to its large inputs although the wait there is not known, if no server is here.
    """
    return wait_ms if math.isinf(wait_ms) else round(wait_ms)
