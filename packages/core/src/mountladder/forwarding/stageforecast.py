# stageforecast.py -- Whether the stages of a request can be done in time
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Whether the stages of a request can be done in time."""

from __future__ import annotations

from mountladder.code import Code
from mountladder.errors import RefusalError
from mountladder.forwarding.backlog import by_rank
from mountladder.forwarding.cataloguefollower import CatalogueFollower
from mountladder.forwarding.expectation import Expectation
from mountladder.forwarding.finishtime import finish_ms
from mountladder.forwarding.forwardrequest import ForwardRequest
from mountladder.forwarding.route import Route
from mountladder.forwarding.stagedispatch import StageDispatch

# A request is let in while its expected time is within this many aims, by its rank; requests that
# are worth least give way first.
LET_IN_AIMS = (1.0, 1.0, 0.95)
# What requests took over what was expected, at first a guess, then as learnt on each route; the
# middle of what was seen is followed by small steps up and down.
FIRST_FACTOR = 1.25
FACTOR_STEP = 0.01
LEAST_FACTOR, MOST_FACTOR = 0.8, 2.0
# One that was refused before and comes back is let in up to this many aims: a late answer is worth
# more than a second refusal, but only where it is not so late that the caller has left.
LET_BACK_IN_AIMS = 1.3
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
    """

    def __init__(self, dispatch: StageDispatch, follower: CatalogueFollower) -> None:
        self.dispatch = dispatch
        self.follower = follower
        self.longest: dict[str, float] = {}
        self.factors: dict[str, float] = {}

    def age_ms(self, request: ForwardRequest, route: Route) -> float:
        """Return how long ago the caller first tried, as far as its remaining time tells."""
        longest = max(self.longest.get(route.name, 0.0), request.allowed_ms)
        self.longest[route.name] = longest
        back = request.allowed_ms < FIRST_ATTEMPT * longest
        return longest - request.allowed_ms if back else 0.0

    def check(
        self,
        expectation: Expectation,
        request: ForwardRequest,
        route: Route,
        urgency: int,
        back: bool,
    ) -> None:
        """Let a request in, or refuse it with the time when there may be room for it.

        Args:
            expectation: How long it is expected to take.
            request: The request.
            route: Its route.
            urgency: Its rank.
            back: Whether it was refused before.

        Raises:
            RefusalError: It is not expected to be in time.
        """
        most_ms = by_rank(LET_IN_AIMS, urgency) * route.aim_ms
        if back:
            most_ms = LET_BACK_IN_AIMS * route.aim_ms
        if expectation.ms <= most_ms:
            return
        back_ms = self.back_ms(request, route, expectation.ms)
        detail = f"expected {expectation.ms:.0f} ms, aim {route.aim_ms:.0f} ms"
        raise RefusalError(detail, Code.DEADLINE_UNMEETABLE, retry_after_ms=back_ms)

    def back_ms(self, request: ForwardRequest, route: Route, expected_ms: float) -> float:
        """Return when a request that is refused may come back, in milliseconds."""
        back_ms = max(LEAST_BACK_MS, BACK_EXCESS * (expected_ms - route.aim_ms))
        return min(back_ms, MOST_BACK_MS, BACK_PART * request.allowed_ms)

    def expect(self, request: ForwardRequest, route: Route, urgency: int) -> Expectation:
        """Return how long a request is expected to take to its first event."""
        stages = range(len(route.stages))
        reading_ms = finish_ms(request.prompt)
        alone = (self.stage_ms(request, route, n, None) for n in stages)
        behind = (self.stage_ms(request, route, n, urgency) for n in stages)
        alone_ms = max(alone, default=0.0)
        waiting_ms = max(behind, default=0.0) - alone_ms
        factor = self.factors.get(route.name, FIRST_FACTOR)
        return Expectation(alone_ms, reading_ms, waiting_ms, factor)

    def learn(self, route: Route, expected_ms: float, elapsed_ms: float) -> None:
        """Learn from the time to the first event of a request that was let in."""
        factor = self.factors.get(route.name, FIRST_FACTOR)
        factor += FACTOR_STEP if elapsed_ms > expected_ms else -FACTOR_STEP
        self.factors[route.name] = min(MOST_FACTOR, max(LEAST_FACTOR, factor))

    def stage_ms(
        self, request: ForwardRequest, route: Route, number: int, urgency: int | None
    ) -> float:
        """Return the expected time until a stage is done, those before it included.

        Args:
            request: The request.
            route: Its route.
            number: The stage.
            urgency: The request's rank; None for the time if nothing else waited.
        """
        stage = route.stages[number]
        before = (self.stage_ms(request, route, one, urgency) for one in stage.after)
        start_ms = max(before, default=0.0)
        pieces = request.pieces[number] if number < len(request.pieces) else 0
        service = self.follower.service(stage.service)
        if not pieces or service is None or service.batch is None:
            return start_ms
        call_ms = service.batch.expected_ms(min(pieces, service.batch.pieces))
        if urgency is None:
            return start_ms + call_ms
        # What waits or is announced is worked off while the stages before are under way.
        free_ms = self.dispatch.wait_ms(stage.service, urgency)
        return max(start_ms, free_ms) + call_ms
