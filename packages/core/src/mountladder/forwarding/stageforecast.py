# stageforecast.py -- Whether the stages of a request can be done in time
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Whether the stages of a request can be done in time."""

from __future__ import annotations

from collections.abc import Sequence

from eliot import log_message

from mountladder.code import Code
from mountladder.errors import RefusalError
from mountladder.forwarding.backlog import by_rank
from mountladder.forwarding.cataloguefollower import CatalogueFollower
from mountladder.forwarding.expectation import Expectation
from mountladder.forwarding.firsteventtime import first_event_ms
from mountladder.forwarding.forwardrequest import ForwardRequest
from mountladder.forwarding.route import Route
from mountladder.forwarding.stagedispatch import StageDispatch
from mountladder.forwarding.stageflow import GIVE_UP_AIMS

# A request is to be on time while the usual one of its route is expected within this many aims, by
# its rank; requests that are worth least give way first.
LET_IN_AIMS = (1.0, 1.0, 0.95)
# A request waits as long as this for the next free server while nothing else waits: less than half
# of a call of the stage services in use. Who waits no longer need not give way: nobody would gain.
LEAST_WAIT_MS = 100.0
# How fast the own time that is usual on a route is followed: over some twenty requests.
USUAL_WEIGHT = 0.05
# What requests took over what was expected, at first a guess, then as learnt on each route; the
# middle of what was seen is followed by small steps up and down.
FIRST_FACTOR = 1.25
FACTOR_STEP = 0.01
LEAST_FACTOR, MOST_FACTOR = 0.8, 2.0
# First attempts come with their whole time; one with less than this part of it comes back.
FIRST_ATTEMPT = 0.97
# When a refused request may come back: when the excess is worked off, within these limits; callers
# wait a third of their time at most.
BACK_EXCESS = 2.0
LEAST_BACK_MS = 800.0
MOST_BACK_MS = 2_600.0
BACK_PART = 0.3


class StageForecast:
    """Refuses requests whose stages cannot be done in time, before any work is spent on them.

    Args:
        dispatch: Knows how long pieces wait.
        follower: The catalogue in force.

    Attributes:
        longest: The longest time that requests of each route came with.
        factors: What requests of each route took over what was expected.
        usual_ms: What requests of each route usually take if nothing waits.
    """

    def __init__(self, dispatch: StageDispatch, follower: CatalogueFollower) -> None:
        self.dispatch = dispatch
        self.follower = follower
        self.longest: dict[str, float] = {}
        self.factors: dict[str, float] = {}
        self.usual_ms: dict[str, float] = {}

    def age_ms(self, request: ForwardRequest, route: Route) -> float:
        """Return how long ago the caller first tried, as far as its remaining time tells."""
        longest = max(self.longest.get(route.name, 0.0), request.allowed_ms)
        self.longest[route.name] = longest
        back = request.allowed_ms < FIRST_ATTEMPT * longest
        return longest - request.allowed_ms if back else 0.0

    def admit(
        self, request: ForwardRequest, route: Route, urgency: int, age_ms: float
    ) -> Expectation:
        """Let a request in and return how long it is expected to take; see foresee and check."""
        expectation = self.foresee(request, route, urgency, age_ms)
        told = expectation.fields() | {"request": request.id, "route": route.name}
        try:
            self.check(expectation, request, route)
        except RefusalError as error:
            log_message("turned-away", back_ms=round(error.retry_after_ms or 0.0), **told)
            raise
        log_message("let-in", comes_back=age_ms > 0.0, **told)
        return expectation

    def foresee(
        self, request: ForwardRequest, route: Route, urgency: int, age_ms: float
    ) -> Expectation:
        """Return how long a request is expected to take, and whether it gives way to others.

        All requests of a route that are to be on time may wait equally long, so that in an overload
        nobody has to give way for the time that it takes by itself.

        Args:
            request: The request.
            route: Its route.
            urgency: Its rank.
            age_ms: How long ago its caller first tried.
        """
        expectation = self.expect(request, route, urgency)
        self.learn_usual(route, expectation.own_ms)
        in_time = expectation.route_ms + age_ms <= by_rank(LET_IN_AIMS, urgency) * route.target_ms
        nothing_waits = expectation.waiting_ms <= LEAST_WAIT_MS
        if in_time or (nothing_waits and age_ms <= 0.0):
            return expectation
        return self.expect(request, route, urgency, gives_way=True)

    def check(self, expectation: Expectation, request: ForwardRequest, route: Route) -> None:
        """Let a request in, or refuse it with the time when there may be room for it.

        Args:
            expectation: How long it is expected to take.
            request: The request.
            route: Its route.

        Raises:
            RefusalError: It is not expected to be answered before its deadline.
        """
        in_time = expectation.ms <= min(request.allowed_ms, route.timeout_ms)
        if expectation.gives_way:
            # It would be given up by then.
            in_time = in_time and expectation.route_ms <= GIVE_UP_AIMS * route.target_ms
        if in_time:
            return
        back_ms = self.back_ms(request, route, expectation.ms)
        detail = f"expected {expectation.ms:.0f} ms, aim {route.target_ms:.0f} ms"
        raise RefusalError(detail, Code.DEADLINE_UNMEETABLE, retry_after_ms=back_ms)

    def back_ms(self, request: ForwardRequest, route: Route, expected_ms: float) -> float:
        """Return when a request that is refused may come back, in milliseconds."""
        back_ms = max(LEAST_BACK_MS, BACK_EXCESS * (expected_ms - route.target_ms))
        return min(back_ms, MOST_BACK_MS, BACK_PART * request.allowed_ms)

    def expect(
        self, request: ForwardRequest, route: Route, urgency: int, gives_way: bool = False
    ) -> Expectation:
        """Return how long a request is expected to take to its first event.

        Args:
            request: The request.
            route: Its route.
            urgency: Its rank.
            gives_way: Whether its pieces give way to all that can be on time.
        """
        stages = range(len(route.stages))
        reading_ms = first_event_ms(request.prompt)
        waits = [self.dispatch.wait_ms(one.service, urgency, gives_way) for one in route.stages]
        alone = (self.stage_ms(request, route, n) for n in stages)
        behind = (self.stage_ms(request, route, n, waits) for n in stages)
        alone_ms = max(alone, default=0.0)
        waiting_ms = max(behind, default=0.0) - alone_ms
        usual_ms = self.usual_ms.get(route.name, alone_ms + reading_ms)
        factor = self.factors.get(route.name, FIRST_FACTOR)
        return Expectation(alone_ms, reading_ms, waiting_ms, usual_ms, factor, gives_way)

    def learn_usual(self, route: Route, own_ms: float) -> None:
        """Learn from what one more request takes by itself."""
        usual_ms = self.usual_ms.get(route.name, own_ms)
        self.usual_ms[route.name] = usual_ms + USUAL_WEIGHT * (own_ms - usual_ms)

    def learn(self, route: Route, expected_ms: float, elapsed_ms: float) -> None:
        """Learn from the time to the first event of a request that was let in."""
        factor = self.factors.get(route.name, FIRST_FACTOR)
        factor += FACTOR_STEP if elapsed_ms > expected_ms else -FACTOR_STEP
        self.factors[route.name] = min(MOST_FACTOR, max(LEAST_FACTOR, factor))

    def stage_ms(
        self, request: ForwardRequest, route: Route, number: int, waits: Sequence[float] = ()
    ) -> float:
        """Return the expected time until a stage is done, those before it included.

        Args:
            request: The request.
            route: Its route.
            number: The stage.
            waits: How long new pieces of each stage wait; without them, as if nothing waited.
        """
        stage = route.stages[number]
        before = (self.stage_ms(request, route, one, waits) for one in stage.after)
        start_ms = max(before, default=0.0)
        pieces = request.pieces[number] if number < len(request.pieces) else 0
        service = self.follower.service(stage.service)
        if not pieces or service is None or service.batch is None:
            return start_ms
        # What waits or is announced is worked off while the stages before are under way.
        free_ms = waits[number] if waits else 0.0
        call_ms = service.batch.expected_ms(min(pieces, service.batch.pieces))
        return max(start_ms, free_ms) + call_ms
