# forwardrun.py -- One forwarded request on its way
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""One forwarded request on its way."""

from __future__ import annotations

from collections.abc import Callable

from eliot import log_message

from mountladder.code import Code
from mountladder.errors import MountladderError, RefusalError, RunError, StageError
from mountladder.forwarding.forwardanswer import ForwardAnswer
from mountladder.forwarding.forwardattempt import ForwardAttempt
from mountladder.forwarding.forwardcall import ForwardCall
from mountladder.forwarding.forwardcontext import ForwardContext
from mountladder.forwarding.forwardrequest import ForwardRequest
from mountladder.forwarding.keyholder import KeyHolder
from mountladder.forwarding.repeats import told, why_not_again
from mountladder.forwarding.route import Route
from mountladder.forwarding.stageflow import StageFlow
from mountladder.forwarding.turn import Turn
from mountladder.forwarding.upstreamanswer import UpstreamAnswer
from mountladder.metrics.metric import Metric

# How often the stages are run again after a result was lost, such as by a crash or a cut.
MOST_FLOWS_LOST = 2


class ForwardRun:
    """Sends one request to servers until it is answered, has failed for good, or is out of time.

    Args:
        request: The request.
        route: Its route.
        holder: The team that sent it, or None on a public route.
        context: What requests share.

    Attributes:
        deadline: When the caller or the route stops waiting.
        urgency: The rank of the request, 0 first.
        sendings: How often it was sent.
        unreached: How often no connection to the server came about.
        runs: On how many servers it may have run.
        flows_lost: How often its stages were run again since a result was lost.
        gives_way: Whether it cannot be on time and its stages give way to all that can.
        cancel_release: Keeps results that are about to be given up.
        case: The request as the quarantine sees it.
        turn: Chooses servers, and waits for a turn at those that limit what they take.
    """

    def __init__(
        self,
        request: ForwardRequest,
        route: Route,
        holder: KeyHolder | None,
        context: ForwardContext,
    ) -> None:
        self.request = request
        self.route = route
        self.holder = holder
        self.context = context
        self.urgency = context.follower.catalogue.urgency(holder, route)
        self.service = route.draw(context.rng)
        self.deadline = request.arrived + min(request.allowed_ms, route.timeout_ms)
        self.sendings = 0
        self.runs = 0
        self.unreached = 0
        self.excluded: frozenset[str] = frozenset()
        self.flow: StageFlow | None = None
        self.site = ""
        self.expected_ms = 0.0
        self.flows_lost = 0
        self.cancel_release: Callable[[], None] = lambda: None
        self.age_ms = context.forecast.age_ms(request, route) if route.stages else 0.0
        self.comes_back = self.age_ms > 0.0
        self.gives_way = False
        self.turn = Turn(self)
        texts = (self.team, request.method, request.host, request.target)
        self.case = context.quarantine.case(request.id, texts, request.body)
        context.budget(self.service).earn()

    @property
    def team(self) -> str:
        """Return the name of the team, or an empty string."""
        return self.holder.team if self.holder else ""

    def left(self) -> float:
        """Return how much time is left, in milliseconds."""
        return self.deadline - self.context.clock.now()

    def elapsed(self) -> float:
        """Return how long ago the request came in, in milliseconds."""
        return self.context.clock.now() - self.request.arrived

    def make_inputs(self) -> tuple[str, ...]:
        """Run the stages and return the handles that the request needs."""
        if not self.route.stages:
            return ()
        is_first = self.flow is None and self.sendings == 0
        if is_first:
            self.admit()
        self.flow = StageFlow(
            self.request,
            self.route,
            self.deadline,
            self.urgency,
            self.context.dispatch,
            self.context.clock,
            self.promised_ms(),
            is_first,
            self.case.fingerprint,
        )
        try:
            inputs = self.flow.run()
        except RefusalError as error:
            raise self.given_up(error) from error
        except RunError as error:
            if error.code is not Code.RESULT_GONE or not self.may_make_again():
                raise
            self.log("stages-again", reason=error.detail, elapsed_ms=round(self.elapsed()))
            return self.make_inputs()
        self.site = self.flow.site()
        self.log("stages-done", results=len(inputs))
        return inputs

    def admit(self) -> None:
        """Let it in, and keep its turn at a server where that may be short; see StageForecast."""
        forecast = self.context.forecast
        expectation = forecast.admit(self.request, self.route, self.urgency, self.age_ms)
        self.expected_ms, self.gives_way = expectation.ms, expectation.gives_way
        self.turn.book(expectation.stages_ms + expectation.waiting_ms)

    def promised_ms(self) -> float:
        """Return within which time from its arrival the answer is to begin, in milliseconds.

        One that takes longer than the aim by itself keeps its place among the others by when it
        can be done.
        """
        return 0.0 if self.gives_way else max(self.route.aim_ms, self.expected_ms)

    def may_make_again(self) -> bool:
        """Tell whether the stages may be run once more after a result of theirs was lost."""
        self.flows_lost += 1
        return self.flows_lost <= MOST_FLOWS_LOST and self.left() > self.expected_ms

    def given_up(self, error: RefusalError) -> RefusalError:
        """Return the refusal of a request whose stages were not begun in time."""
        forecast = self.context.forecast
        if not self.gives_way:
            forecast.learn(self.route, self.expected_ms, self.elapsed())
        expectation = forecast.expect(self.request, self.route, self.urgency, self.gives_way)
        back_ms = forecast.back_ms(self.request, self.route, expectation.ms)
        return RefusalError(error.detail, error.code, retry_after_ms=back_ms)

    def begin(self) -> ForwardAttempt:
        """Choose a server for the next sending.

        Raises:
            MountladderError: No server can be used.
        """
        try:
            picked = self.turn.take()
        except RefusalError as error:
            raise told(self, error) from error
        self.sendings += 1
        attempt = ForwardAttempt(picked, self.context.clock.now(), self.sendings)
        self.log(
            "sent",
            server=attempt.server,
            sending=self.sendings,
            reason=picked.choice.reason(),
            prompt_from=picked.source,
            reads=picked.read,
            tokens=self.request.prompt.tokens if self.request.prompt else 0,
            left_ms=round(self.left()),
        )
        return attempt

    def call(
        self,
        attempt: ForwardAttempt,
        inputs: tuple[str, ...],
        after_event: str,
        limit_ms: float,
        connected: Callable[[], None] = lambda: None,
    ) -> UpstreamAnswer:
        """Send the request to the server of an attempt and return the head of the answer."""
        call = ForwardCall(
            request=self.request,
            team=self.team,
            deadline=self.deadline,
            inputs=inputs,
            after_event=after_event,
            reusable=self.route.repeatable,
            source=attempt.picked.source,
            heard=self.context.notices.dispatch,
            connected=connected,
        )
        return self.context.upstream.open(attempt.choice.state.server, call, limit_ms)

    def failed(self, attempt: ForwardAttempt, error: StageError) -> None:
        """Learn from a failed attempt; return where the request may be sent again.

        Raises:
            MountladderError: It may not; this is what the caller is told.
        """
        elapsed_ms = self.context.clock.now() - attempt.started
        self.context.picker.failed(
            attempt.picked, self.request, self.service, error.code, elapsed_ms
        )
        self.case.failed(attempt.choice.state.server, attempt.started, error)
        self.excluded |= {attempt.server}
        self.runs += error.dispatched
        self.unreached += error.code is Code.CONNECT_FAILED
        problem = why_not_again(self, error)
        self.log(
            "attempt-failed",
            server=attempt.server,
            code=error.code.number,
            reason=error.detail,
            may_have_run=error.dispatched,
            elapsed_ms=round(elapsed_ms),
            outcome="gives up" if problem else "sends again",
        )
        if problem is not None:
            raise problem from error
        self.context.metrics.count(Metric.RETRIED, error.code.name.lower())

    def has_begun(self) -> bool:
        """Tell whether any of it may have run, its stages included."""
        return self.runs > 0 or (self.flow is not None and self.flow.begun)

    def succeeded(self, attempt: ForwardAttempt, load: int | None, goes_on: bool) -> None:
        """Learn from an attempt that was answered; a stream goes on after its first event."""
        elapsed_ms = self.context.clock.now() - attempt.started
        self.context.picker.succeeded(
            attempt.picked, self.request, self.service, elapsed_ms, load, goes_on
        )

    def finish(self, error: MountladderError | None = None, status: int = 0) -> None:
        """Give up the results of stages, and record how the request ended."""
        if self.flow is not None:
            self.flow.release()
        self.turn.drop()
        metrics = self.context.metrics
        metrics.timing(Metric.REQUEST_MS, self.elapsed())
        if error is None:
            metrics.count(Metric.ANSWERED)
        else:
            metrics.count(Metric.REFUSED, error.code.name.lower())
        self.log(
            "ended",
            status=status or (error.code.status if error else 0),
            code=error.code.number if error else 0,
            reason=error.detail if error else "",
            sendings=self.sendings,
            runs=self.runs,
            elapsed_ms=round(self.elapsed()),
        )

    def log(self, event: str, **fields: object) -> None:
        """Log a decision about the request."""
        log_message(event, request=self.request.id, route=self.route.name, **fields)

    def answer(self) -> ForwardAnswer:
        """Return what the caller is answered with.

        Raises:
            MountladderError: The request was refused or failed.
        """
        raise NotImplementedError
