# stageforecast.py -- Admits or refuses requests by the expected time of their stages
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Admits or refuses requests by the expected time of their stages."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import replace

from eliot import log_message

from mountladder.admission.attemptkind import MIN_RETURN_MS, AttemptKind
from mountladder.admission.modelwait import UNKNOWN_WAIT, ModelWait
from mountladder.admission.pipelineadmission import PipelineAdmission
from mountladder.admission.retrytimes import RetryTimes
from mountladder.clocks.timer import MS_PER_SECOND
from mountladder.code import Code
from mountladder.errors import RefusalError
from mountladder.forwarding.backlog import value_for_rank
from mountladder.forwarding.cataloguefollower import CatalogueFollower
from mountladder.forwarding.expectation import Expectation
from mountladder.forwarding.firsteventtime import first_event_ms
from mountladder.forwarding.forwardrequest import ForwardRequest
from mountladder.forwarding.route import Route
from mountladder.forwarding.stagedispatch import StageDispatch
from mountladder.forwarding.stageflow import GIVE_UP_TARGETS
from mountladder.metrics.metric import Metric

# A request counts as on time while a usual request of its route is expected to take at most this
# multiple of the latency target, by rank; the least valuable requests give way first.
ON_TIME_TARGETS = (1.0, 1.0, 0.95)
# A wait up to this is normal with an empty queue, until the next server is free: less than half of
# a call of a stage service. No other request would gain if a request with such a wait gave way.
NORMAL_WAIT_MS = 100.0
# Weight of a new sample in the moving average of a route's usual time: about twenty requests.
USUAL_WEIGHT = 0.05
# Ratio of actual to expected time: the initial value, and the step by which each request moves its
# route's ratio up or down, so that it tracks the median.
INITIAL_FACTOR = 1.25
FACTOR_STEP = 0.01
MIN_FACTOR, MAX_FACTOR = 0.8, 2.0
# The most that the ratio changes in a second, however many requests tell of it. An instance that
# most callers reach would otherwise refuse after a second what all others admit.
MAX_FACTOR_PER_S = 0.05
# A request that arrives with less than this fraction of its route's full deadline is a retry.
FIRST_ATTEMPT_FRACTION = 0.97
# When a refused request may be retried where no times are scheduled: after a multiple of the time
# by which it would exceed its latency target, at least MIN_RETURN_MS, within this limit and this
# fraction of the caller's remaining time; callers wait at most a third of it.
RETRY_EXCESS_FACTOR = 2.0
MAX_RETRY_AFTER_MS = 2_600.0
RETRY_AFTER_FRACTION = 0.3


class StageForecast:
    """Refuses requests whose stages can't be done in time, before any work is done for them.

    Args:
        dispatch: Returns the expected waits at stage services.
        follower: The catalogue in force.
        pipeline: Returns the waits for model servers and the patience of callers; None if neither
            counts.
        retries: Schedules the times at which refused callers return, or None for a formula.

    Attributes:
        max_allowed_ms: The longest time that a request of each route was allowed, in milliseconds.
        factors: The ratio of actual to expected time of each route.
        learnt_at: When that was last changed, in the clock's milliseconds.
        usual_ms: The usual time of a request of each route without waits, in milliseconds.
    """

    def __init__(
        self,
        dispatch: StageDispatch,
        follower: CatalogueFollower,
        pipeline: PipelineAdmission | None = None,
        retries: RetryTimes | None = None,
    ) -> None:
        self.dispatch = dispatch
        self.follower = follower
        self.pipeline = pipeline
        self.retries = retries
        self.max_allowed_ms: dict[str, float] = {}
        self.factors: dict[str, float] = {}
        self.learnt_at: dict[str, float] = {}
        self.usual_ms: dict[str, float] = {}

    def age_ms(self, request: ForwardRequest, route: Route) -> float:
        """Return the time since the caller's first attempt in milliseconds, 0 if this is it."""
        max_allowed_ms = max(self.max_allowed_ms.get(route.name, 0.0), request.allowed_ms)
        self.max_allowed_ms[route.name] = max_allowed_ms
        is_retry = request.allowed_ms < FIRST_ATTEMPT_FRACTION * max_allowed_ms
        return max_allowed_ms - request.allowed_ms if is_retry else 0.0

    def attempt(self, route: Route, age_ms: float) -> AttemptKind:
        """Return the kind of an attempt, given the time since the caller's first one."""
        return AttemptKind.FIRST if self.retries is None else self.retries.attempt(route, age_ms)

    def admit(
        self,
        request: ForwardRequest,
        route: Route,
        urgency: int,
        age_ms: float,
        service: str = "",
    ) -> Expectation:
        """Admit a request and return its expected time; see predict and check."""
        elapsed_ms = self.dispatch.clock.now() - request.arrived
        expectation = self.predict(request, route, urgency, age_ms, service)
        expectation = replace(expectation, elapsed_ms=elapsed_ms)
        fields = expectation.log_fields() | {"request": request.id, "route": route.name}
        try:
            self.check(expectation, request, route)
        except RefusalError as error:
            reason = self.refusal_reason(expectation, request, route)
            self.count_refusal(reason, expectation, request, route)
            if self.retries is not None:
                self.retries.record_refused(request, route, urgency, age_ms)
            self.schedule_return(error, request, route, urgency, age_ms)
            log_message(
                "request-refused",
                reason=reason,
                patience_ms=_rounded(self.patience_ms(route)),
                retry_after_ms=round(error.retry_after_ms or 0.0),
                **fields,
            )
            raise
        if self.retries is not None:
            self.retries.record_admitted(request, route, age_ms)
        log_message("let-in", comes_back=age_ms > 0.0, **fields)
        return expectation

    def predict(
        self,
        request: ForwardRequest,
        route: Route,
        urgency: int,
        age_ms: float,
        service: str = "",
    ) -> Expectation:
        """Return the expected time of a request, and whether it gives way to others.

        The decision uses the usual time of the route rather than the request's own: all requests of
        a route may wait equally long, and in an overload none gives way for being large.

        Args:
            request: The request.
            route: Its route.
            urgency: Its rank.
            age_ms: The time since its caller's first attempt, in milliseconds.
            service: The service of its model servers; see expect.
        """
        expectation = self.expect(request, route, urgency, service=service)
        self.learn_usual(route, expectation.processing_ms)
        in_time = (
            expectation.route_ms + age_ms
            <= value_for_rank(ON_TIME_TARGETS, urgency) * route.target_ms
        )
        nothing_waits = expectation.all_waiting_ms <= NORMAL_WAIT_MS
        if in_time or (nothing_waits and age_ms <= 0.0):
            return expectation
        return self.expect(request, route, urgency, True, service, self.attempt(route, age_ms))

    def check(self, expectation: Expectation, request: ForwardRequest, route: Route) -> None:
        """Refuse a request that is not expected to be answered in time.

        Args:
            expectation: Its expected time.
            request: The request.
            route: Its route.

        Raises:
            RefusalError: It is not expected to be answered before its deadline or before its caller
                leaves, or gives way and its stages would be dropped first; carries the time after
                which to retry.
        """
        if not self.refusal_reason(expectation, request, route):
            return
        retry_after_ms = self.retry_after_ms(request, route, expectation.ms)
        detail = f"expected {expectation.ms:.0f} ms, latency target {route.target_ms:.0f} ms"
        raise RefusalError(detail, Code.DEADLINE_UNMEETABLE, retry_after_ms=retry_after_ms)

    def refusal_reason(
        self, expectation: Expectation, request: ForwardRequest, route: Route
    ) -> str:
        """Return why a request is refused, or an empty string if it is admitted."""
        answered_ms = expectation.elapsed_ms + expectation.ms
        if answered_ms > min(request.allowed_ms, route.timeout_ms):
            return "deadline"
        if answered_ms > self.patience_ms(route):
            return "patience"
        # Its stages would be dropped before the deadline.
        if expectation.gives_way and expectation.route_ms > GIVE_UP_TARGETS * route.target_ms:
            return "gives way"
        return ""

    def count_refusal(
        self, reason: str, expectation: Expectation, request: ForwardRequest, route: Route
    ) -> None:
        """Count a refusal that the stages and the deadline alone would not have led to."""
        if self.pipeline is None:
            return
        if reason == "patience":
            self.pipeline.metrics.count(Metric.REFUSED_BY_PATIENCE)
        if not self.refusal_reason(replace(expectation, model_wait_ms=0.0), request, route):
            self.pipeline.metrics.count(Metric.REFUSED_BY_MODEL_WAIT)

    def patience_ms(self, route: Route) -> float:
        """Return how long callers wait in milliseconds, infinite if their patience is ignored."""
        return math.inf if self.pipeline is None else self.pipeline.patience_ms(route)

    def retry_after_ms(self, request: ForwardRequest, route: Route, expected_ms: float) -> float:
        """Return the time after which a refused request may be retried, in milliseconds.

        It holds where no times are scheduled; see schedule_return.
        """
        retry_after_ms = max(MIN_RETURN_MS, RETRY_EXCESS_FACTOR * (expected_ms - route.target_ms))
        return min(retry_after_ms, MAX_RETRY_AFTER_MS, RETRY_AFTER_FRACTION * request.allowed_ms)

    def schedule_return(
        self,
        error: RefusalError,
        request: ForwardRequest,
        route: Route,
        urgency: int,
        age_ms: float,
        elapsed_ms: float = 0.0,
    ) -> None:
        """Set the time after which a refused request may be retried, where times are scheduled.

        Args:
            error: The refusal.
            request: The request.
            route: Its route.
            urgency: Its rank.
            age_ms: The time since its caller's first attempt, in milliseconds.
            elapsed_ms: The time since this attempt arrived, in milliseconds.
        """
        if self.retries is None or not self.retries.applies_to(route):
            return
        error.retry_after_ms = self.retries.retry_after_ms(
            request,
            route,
            urgency,
            self.expect(request, route, urgency, True, attempt=AttemptKind.RETURN),
            GIVE_UP_TARGETS * route.target_ms,
            request.allowed_ms - elapsed_ms,
            age_ms,
        )

    def expect(
        self,
        request: ForwardRequest,
        route: Route,
        urgency: int,
        gives_way: bool = False,
        service: str = "",
        attempt: AttemptKind = AttemptKind.FIRST,
    ) -> Expectation:
        """Return the expected time of a request until its first event.

        Args:
            request: The request.
            route: Its route.
            urgency: Its rank.
            gives_way: Whether its pieces are queued behind all that can be on time.
            service: The service of its model servers; if empty, the one that most requests of the
                route are sent to.
            attempt: Whether it returns after a refusal.
        """
        stages = range(len(route.stages))
        reading_ms = first_event_ms(request.prompt)
        waits = [
            self.dispatch.wait_ms(one.service, urgency, gives_way, attempt) for one in route.stages
        ]
        alone = (self.stage_ms(request, route, n) for n in stages)
        queued = (self.stage_ms(request, route, n, waits) for n in stages)
        alone_ms = max(alone, default=0.0)
        waiting_ms = max(queued, default=0.0) - alone_ms
        usual_ms = self.usual_ms.get(route.name, alone_ms + reading_ms)
        factor = self.factors.get(route.name, INITIAL_FACTOR)
        model = self.model_wait(request, route, urgency, gives_way, service)
        return Expectation(
            alone_ms, reading_ms, waiting_ms, usual_ms, factor, gives_way, model.ms, model.age_ms
        )

    def model_wait(
        self, request: ForwardRequest, route: Route, urgency: int, gives_way: bool, service: str
    ) -> ModelWait:
        """Return the expected wait of a request's prompt for a model server; see expect."""
        if self.pipeline is None or request.prompt is None:
            return UNKNOWN_WAIT
        main = service or max(route.targets, key=lambda one: one.weight).service
        return self.pipeline.wait(main, urgency, gives_way)

    def learn_usual(self, route: Route, processing_ms: float) -> None:
        """Update the usual time of a route with a request's time without waits."""
        usual_ms = self.usual_ms.get(route.name, processing_ms)
        self.usual_ms[route.name] = usual_ms + USUAL_WEIGHT * (processing_ms - usual_ms)

    def learn(self, route: Route, expected_ms: float, elapsed_ms: float) -> None:
        """Update a route's ratio with an admitted request's actual time to its first event."""
        factor = self.factors.get(route.name, INITIAL_FACTOR)
        now = self.dispatch.clock.now()
        since_ms = now - self.learnt_at.get(route.name, -math.inf)
        step = min(FACTOR_STEP, MAX_FACTOR_PER_S * since_ms / MS_PER_SECOND)
        self.learnt_at[route.name] = now
        factor += step if elapsed_ms > expected_ms else -step
        self.factors[route.name] = min(MAX_FACTOR, max(MIN_FACTOR, factor))

    def stage_ms(
        self, request: ForwardRequest, route: Route, number: int, waits: Sequence[float] = ()
    ) -> float:
        """Return the expected time until a stage and those before it are done, in milliseconds.

        Args:
            request: The request.
            route: Its route.
            number: The number of the stage.
            waits: The expected waits of new pieces of each stage in milliseconds; empty for none.
        """
        stage = route.stages[number]
        before = (self.stage_ms(request, route, one, waits) for one in stage.after)
        start_ms = max(before, default=0.0)
        pieces = request.pieces[number] if number < len(request.pieces) else 0
        service = self.follower.service(stage.service)
        if not pieces or service is None or service.batch is None:
            return start_ms
        # The queue of this stage shrinks while the stages before it run.
        free_ms = waits[number] if waits else 0.0
        call_ms = service.batch.expected_ms(min(pieces, service.batch.pieces))
        return max(start_ms, free_ms) + call_ms


def _rounded(ms: float) -> int | None:
    return None if math.isinf(ms) else round(ms)
