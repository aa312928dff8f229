# retrytimes.py -- Refused requests of an instance, and when they are to return
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Refused requests of an instance, and when they are to return."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Mapping
from typing import TYPE_CHECKING

from eliot import log_message

from mountladder.admission.attemptkind import AttemptKind, attempt_kind
from mountladder.admission.patience import patience_ms
from mountladder.admission.refusalreports import RefusalReports
from mountladder.admission.refusedrequest import RefusedRequest
from mountladder.admission.returnschedule import ReturnSchedule, return_rate
from mountladder.clocks.timer import MS_PER_SECOND
from mountladder.forwarding.backlog import rank
from mountladder.forwarding.expectation import Expectation
from mountladder.forwarding.forwardrequest import ForwardRequest
from mountladder.forwarding.route import Route
from mountladder.forwarding.stagedispatch import StageDispatch
from mountladder.metrics.metric import Metric
from mountladder.metrics.metrics import Metrics
from mountladder.sharing.decayedsums import DecayedSums

if TYPE_CHECKING:
    from mountladder.forwarding.forwardingcomponents import ForwardingComponents

# A service delays a request if the request waits for it longer than this, in milliseconds: less
# than half of a call, as with an empty queue until the next server is free.
DELAY_MS = 100.0
# Time over which the pieces of first attempts are counted, in milliseconds, as for floors.
MEMORY_MS = 2_000.0
MAX_SERVICES = 256


class RetryTimes:
    """Tells refused callers when to return, and coordinators what was refused.

    Handles refused callers that return in a wave and are refused again. What others ask of a
    service is taken to be what this instance asks of it, times the number of instances: callers are
    spread evenly over them.

    Args:
        dispatch: Returns expected waits, and holds the links to other instances.
        metrics: Counts the requests that return.
        is_enabled: Returns whether times to return are scheduled for requests that need services.

    Attributes:
        reports: Tells coordinators what was refused.
        schedule: The turns of refused callers.
        asked: The pieces of first attempts that were admitted here, by service.
    """

    def __init__(
        self, dispatch: StageDispatch, metrics: Metrics, is_enabled: Callable[[Iterable[str]], bool]
    ) -> None:
        self.dispatch = dispatch
        self.clock = dispatch.clock
        self.metrics = metrics
        self.is_enabled = is_enabled
        self.reports = RefusalReports(dispatch, metrics, is_enabled)
        self.schedule = ReturnSchedule()
        self.asked: DecayedSums[str] = DecayedSums(MEMORY_MS, MAX_SERVICES)
        # A generator of its own, as instances must not draw the same numbers.
        self.rng = random.Random(dispatch.fleet.membership.me.name)

    def applies_to(self, route: Route) -> bool:
        """Return whether times to return are scheduled for requests of a route."""
        return self.is_enabled(one.service for one in route.stages)

    def attempt(self, route: Route, age_ms: float) -> AttemptKind:
        """Return the kind of an attempt, given the time since the caller's first one."""
        return attempt_kind(age_ms) if self.applies_to(route) else AttemptKind.FIRST

    def record_admitted(self, request: ForwardRequest, route: Route, age_ms: float) -> None:
        """Record that a request was admitted."""
        if age_ms > 0.0:
            self.record_return(age_ms, Metric.RETURNS_ADMITTED)
            return
        if not self.applies_to(route):
            return
        now = self.clock.now()
        for stage, pieces in zip(route.stages, request.pieces, strict=False):
            self.asked.add(stage.service, pieces, now)

    def record_refused(
        self, request: ForwardRequest, route: Route, urgency: int, age_ms: float
    ) -> None:
        """Record that a request was refused at admission, and report first attempts."""
        if age_ms > 0.0:
            self.record_return(age_ms, Metric.RETURNS_REFUSED)
        elif self.applies_to(route):
            self.reports.add(request, route, urgency)

    def record_return(self, age_ms: float, outcome: Metric) -> None:
        """Count a retry with its outcome."""
        self.metrics.count(outcome)
        if attempt_kind(age_ms) is AttemptKind.EARLY_RETURN:
            self.metrics.count(Metric.RETURNS_EARLY)

    def retry_after_ms(
        self,
        request: ForwardRequest,
        route: Route,
        urgency: int,
        expectation: Expectation,
        limit_ms: float,
        allowed_ms: float,
        age_ms: float,
    ) -> float:
        """Return the time after which a refused caller is to return, in milliseconds.

        Args:
            request: The refused request.
            route: Its route.
            urgency: Its rank.
            expectation: Its expected time if it arrived now as a retry.
            limit_ms: The expected time of a usual request of the route beyond which one that gives
                way is refused.
            allowed_ms: How long the caller waits from now on, in milliseconds.
            age_ms: The time since its first attempt; callers retry once.
        """
        now = self.clock.now()
        waits = self.waits_ms(route, urgency)
        rates = {one: self.rate(one, now) for one in waits if waits[one] > DELAY_MS}
        refused = RefusedRequest(
            rank=rank(urgency),
            pieces=delayed_pieces(request, route, rates),
            waiting_ms=expectation.waiting_ms,
            processing_ms=expectation.ms / expectation.factor - expectation.waiting_ms,
            usual_ms=expectation.route_ms / expectation.factor - expectation.waiting_ms,
            factor=expectation.factor,
            limit_ms=limit_ms,
            patience_ms=min(patience_ms(route), route.timeout_ms),
            allowed_ms=allowed_ms,
        )
        phase = self.rng.random()
        found = self.schedule.schedule(refused, rates, phase, now, returns=age_ms <= 0.0)
        self.metrics.count(Metric.RETURNS_SCHEDULED if found.in_time else Metric.RETURNS_HOPELESS)
        log_message(
            "return-scheduled",
            request=request.id,
            route=route.name,
            urgency=urgency,
            age_ms=round(age_ms),
            allowed_ms=round(allowed_ms),
            waits_ms={one: round(wait_ms) for one, wait_ms in waits.items()},
            pieces_per_s={one: round(MS_PER_SECOND * rate, 2) for one, rate in rates.items()},
            **found.log_fields(),
        )
        return found.after_ms

    def waits_ms(self, route: Route, urgency: int) -> dict[str, float]:
        """Return the expected waits of a retry at each service of a route, in milliseconds."""
        services = {one.service for one in route.stages}
        return {
            one: self.dispatch.wait_ms(one, urgency, True, AttemptKind.RETURN)
            for one in sorted(services)
        }

    def rate(self, service: str, now: float) -> float:
        """Return the rate at which a service can serve retries from here, in pieces per ms."""
        fleet, limits = self.dispatch.fleet, self.dispatch.limits(service)
        avoided = fleet.directory.avoided
        ranked = fleet.coordinators.ranked(service)
        instances = sum(one.datacentre not in avoided for one in ranked)
        if limits is None:
            return 0.0
        servers = len(fleet.division.servers(service))
        throughput = servers * limits.pieces / limits.expected_ms(limits.pieces)
        asked = self.asked.sums(now).get(service, 0.0) / MEMORY_MS
        return return_rate(throughput, instances * asked, instances)


def make_retry_times(components: ForwardingComponents) -> RetryTimes:
    """Return the component of an instance that tells refused callers when to return."""
    return RetryTimes(
        components.dispatch,
        components.metrics,
        lambda services: components.settings.schedule_retries
        and all(map(components.has_enough_servers, services)),
    )


def delayed_pieces(
    request: ForwardRequest, route: Route, rates: Mapping[str, float]
) -> dict[str, int]:
    """Return the pieces of a request by service, of those services that have a rate."""
    counts: dict[str, int] = {}
    for stage, pieces in zip(route.stages, request.pieces, strict=False):
        if pieces and rates.get(stage.service, 0.0) > 0:
            counts[stage.service] = counts.get(stage.service, 0) + pieces
    return counts
