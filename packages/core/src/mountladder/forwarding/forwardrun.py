# forwardrun.py -- Executes one forwarded request: its stages, attempts and retries
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Executes one forwarded request: its stages, attempts and retries."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import replace
from weakref import proxy

from eliot import log_message

from mountladder.admission.hold import Hold
from mountladder.code import Code
from mountladder.errors import MountladderError, RefusalError, RunError, StageError
from mountladder.forwarding.callerteam import CallerTeam
from mountladder.forwarding.forwardanswer import ForwardAnswer
from mountladder.forwarding.forwardattempt import ForwardAttempt
from mountladder.forwarding.forwardcall import ForwardCall
from mountladder.forwarding.forwardcontext import ForwardContext
from mountladder.forwarding.forwardrequest import ForwardRequest
from mountladder.forwarding.hedge import Hedge
from mountladder.forwarding.pickedserver import PickedServer
from mountladder.forwarding.reservation import Reservation
from mountladder.forwarding.retryrules import caller_error, no_retry_error
from mountladder.forwarding.route import Route
from mountladder.forwarding.secondanswer import SecondAnswer
from mountladder.forwarding.stageflow import StageFlow
from mountladder.forwarding.upstreamanswer import UpstreamAnswer
from mountladder.memory.holder import Holder
from mountladder.metrics.metric import Metric

# A request whose stages have run waits for the retry budget for this fraction of its remaining
# time, and asks for a retry at this interval in milliseconds.
BUDGET_WAIT_FRACTION = 0.75
BUDGET_POLL_MS = 100.0
# How long a server that may have crashed is given to refuse a connection, in milliseconds. One that
# accepts none, since many wait, would hold up an answer that is whole.
REFUSAL_MS = 100.0
# How often the stages are rerun after a result was lost, for example in a crash or a broken stream.
MAX_STAGE_RERUNS = 2


class ForwardRun:
    """Sends one request to servers until it is answered, fails permanently or times out.

    Its parts refer to it weakly, so that the memory of the request is free when the run ends, and
    not only once the garbage collector has found the cycles.

    Args:
        request: The request.
        route: Its route.
        caller: The team that sent it, or None on a public route.
        context: State shared by requests.

    Attributes:
        service: The name of the service that the request is sent to.
        deadline: When the caller's or the route's timeout expires, in the clock's milliseconds.
        urgency: The priority of the request; 0 is the most urgent.
        attempts: The number of attempts so far.
        connect_failures: The number of attempts that could not connect to the server.
        possible_runs: The number of attempts in which a server may have executed it.
        hedge: The second attempt beside the one in progress, or None before the first attempt.
        heard_at: Since when the server of the attempt in progress is awaited, in the clock's
            milliseconds: since it was last heard of, or the request was sent there.
        is_waiting: Whether the server is awaited, and not the caller.
        begun_at: Since when the server of the attempt in progress has been answering, in the
            clock's milliseconds, or None.
        is_retry_paid: Whether a retry was taken out of the budget for a second server that was
            not reached, so that the next one needs no other.
        excluded: Names of the servers at which it failed.
        flow: The current execution of its stages, or None.
        site: The data centre that holds the results of its stages, or an empty string.
        expected_ms: The expected time to its first event when it was admitted, or 0.
        age_ms: How long ago the caller first tried, in milliseconds; see StageForecast.
        is_returning: Whether the caller retries a request that was refused before.
        stage_reruns: How often its stages were rerun because a result was lost.
        gives_way: Whether it cannot meet its latency target, so that its stages run after those of
            requests that can.
        answer_fields: What the log says of the answer that the caller is given.
        cancel_release: Cancels the scheduled release of stage results.
        tracked: The request as tracked by the quarantine.
        reservation: Chooses servers and waits for a slot at those that limit their request rate.
        hold: Limits how long the request is held before a server is sent it.
    """

    def __init__(
        self,
        request: ForwardRequest,
        route: Route,
        caller: CallerTeam | None,
        context: ForwardContext,
    ) -> None:
        self.request = request
        self.route = route
        self.caller = caller
        self.context = context
        self.urgency = context.follower.catalogue.urgency(caller, route)
        self.service = route.draw_service(context.rng)
        self.deadline = request.deadline(route.timeout_ms)
        self.attempts = 0
        self.possible_runs = 0
        self.connect_failures = 0
        self.hedge: Hedge | None = None
        self.heard_at = request.arrived
        self.is_waiting = self.is_retry_paid = False
        self.begun_at: float | None = None
        self.excluded: frozenset[str] = frozenset()
        self.flow: StageFlow | None = None
        self.site = ""
        self.expected_ms = 0.0
        self.stage_reruns = 0
        self.cancel_release: Callable[[], None] = lambda: None
        self.age_ms = context.forecast.age_ms(request, route) if route.stages else 0.0
        self.is_returning = self.age_ms > 0.0
        self.gives_way = False
        self.answer_fields: dict[str, object] = {}
        self.reservation = Reservation(proxy(self))
        self.hold = Hold(proxy(self))
        texts = (self.team, request.method, request.host, request.target)
        parts = request.prompt.shared_parts() if request.prompt else ()
        self.tracked = context.quarantine.track(request.id, texts, request.body, parts)
        context.budgets.of_requests(self.service).earn()

    @property
    def team(self) -> str:
        """Return the name of the team, or an empty string."""
        return self.caller.team if self.caller else ""

    @property
    def wants_backup(self) -> bool:
        """Return whether a second server is to keep a copy of the request's cache."""
        return False

    @property
    def version(self) -> str | None:
        """Return the software version that the server must run, or None if any will do."""
        return None

    @property
    def is_joinable(self) -> bool:
        """Return whether another server can go on behind what was passed on to the caller."""
        return True

    @property
    def has_begun(self) -> bool:
        """Return whether the server of the attempt in progress has begun to answer."""
        return self.begun_at is not None

    def begun_ms(self) -> float:
        """Return for how long the server of the attempt in progress has been answering, or 0."""
        return 0.0 if self.begun_at is None else self.context.clock.now() - self.begun_at

    def remaining_ms(self) -> float:
        """Return the time until the deadline, in milliseconds."""
        return self.deadline - self.context.clock.now()

    def elapsed_ms(self) -> float:
        """Return the time since the request was received, in milliseconds."""
        return self.context.clock.now() - self.request.arrived

    def silent_ms(self) -> float:
        """Return for how long the server of the attempt in progress is awaited."""
        return self.context.clock.now() - self.heard_at if self.is_waiting else 0.0

    def wait_for_server(self) -> None:
        """Record that the server is awaited from now on."""
        self.heard_at = self.context.clock.now()
        self.is_waiting = True

    def run_stages(self) -> tuple[str, ...]:
        """Run the stages and return the handles of the results that the request needs."""
        if not self.route.stages:
            return ()
        is_first = self.flow is None and self.attempts == 0
        if is_first:
            self.admit()
        self.flow = StageFlow(
            self.request,
            self.route,
            self.hold.deadline(),
            self.urgency,
            self.context.dispatch,
            self.context.clock,
            self.answer_target_ms(),
            is_first,
            self.tracked.fingerprint,
            self.team,
            self.hold.stages_end(),
            self.context.forecast.attempt(self.route, self.age_ms),
        )
        try:
            with self.tracked.ended_if_barred(self.flow.end_barred):
                inputs = self.flow.run()
        except RefusalError as error:
            self.hold.record_end(error)
            raise self.late_refusal(error) from error
        except RunError as error:
            if error.code is not Code.RESULT_GONE or not self.may_rerun_stages():
                self.hold.record_end(error)
                raise
            self.log("stages-rerun", reason=error.detail, elapsed_ms=round(self.elapsed_ms()))
            return self.run_stages()
        self.site = self.flow.results.input_datacentre()
        self.log("stages-done", results=len(inputs))
        return inputs

    def admit(self) -> None:
        """Admit the request; reserve a slot if all servers limit their rate. See StageForecast."""
        admit = self.context.forecast.admit
        expectation = admit(self.request, self.route, self.urgency, self.age_ms, self.service)
        self.expected_ms, self.gives_way = expectation.ms, expectation.gives_way
        self.reservation.reserve(expectation.stages_ms + expectation.waiting_ms)

    def answer_target_ms(self) -> float:
        """Return the target time from arrival to the start of the answer, in milliseconds.

        A request that takes longer than the latency target even without load is scheduled by its
        expected time instead.
        """
        return 0.0 if self.gives_way else max(self.route.target_ms, self.expected_ms)

    def may_rerun_stages(self) -> bool:
        """Count a lost stage result and return whether the stages may be rerun."""
        self.stage_reruns += 1
        return self.stage_reruns <= MAX_STAGE_RERUNS and self.remaining_ms() > self.expected_ms

    def late_refusal(self, error: RefusalError) -> RefusalError:
        """Return the refusal of a request whose stages did not start in time."""
        forecast, sent = self.context.forecast, (self.request, self.route)
        if not self.gives_way:
            forecast.learn(self.route, self.expected_ms, self.elapsed_ms())
        expectation = forecast.expect(*sent, self.urgency, self.gives_way, self.service)
        retry_after_ms = forecast.retry_after_ms(*sent, expectation.ms)
        refusal = RefusalError(error.detail, error.code, retry_after_ms=retry_after_ms)
        forecast.schedule_return(refusal, *sent, self.urgency, self.age_ms, self.elapsed_ms())
        return refusal

    def start_attempt(self) -> ForwardAttempt:
        """Choose a server for the next attempt, and begin to watch it.

        Raises:
            MountladderError: No server is available.
        """
        attempt = self.begin_attempt(self.acquire())
        self.begun_at = None
        self.wait_for_server()
        self.hedge = Hedge(proxy(self), attempt)
        return attempt

    def acquire(self, asked: frozenset[str] = frozenset()) -> PickedServer:
        """Choose a server.

        Args:
            asked: The names of the servers that are sent the request at present.

        Raises:
            MountladderError: No server is available.
        """
        try:
            return self.reservation.acquire(asked)
        except RefusalError as error:
            if not self.may_have_run():
                raise
            raise caller_error(self, error) from error

    def begin_attempt(self, picked: PickedServer) -> ForwardAttempt:
        """Begin an attempt at a server that was chosen for the request."""
        self.attempts += 1
        attempt = ForwardAttempt(picked, self.context.clock.now(), self.attempts)
        self.log(
            "sent",
            server=attempt.server,
            software=attempt.version,
            attempt=self.attempts,
            reason=picked.choice.reason(),
            prefix_source=picked.source,
            prefill_tokens=picked.prefill_tokens,
            tokens=self.request.prompt.tokens if self.request.prompt else 0,
            remaining_ms=round(self.remaining_ms()),
        )
        return attempt

    def call(
        self,
        attempt: ForwardAttempt,
        inputs: tuple[str, ...],
        last_event_id: str,
        limit_ms: float,
        connected: Callable[[Callable[[], None]], None] = lambda break_connection: None,
        copy: str = "",
        holder: Holder | None = None,
    ) -> UpstreamAnswer:
        """Send the request to an attempt's server and return the answer once its head is there.

        The bytes that are held for the call are counted by a holder, or by that of the caller.
        """
        backup = attempt.picked.backup
        call = ForwardCall(
            request=replace(self.request, holder=holder or self.request.holder),
            team=self.team,
            deadline=self.deadline,
            inputs=inputs,
            last_event_id=last_event_id,
            may_reuse_connection=self.route.repeatable,
            source=attempt.picked.source,
            on_notices=self.context.notices.dispatch,
            connected=connected,
            backup=backup.address if backup else "",
            copy=copy,
        )
        return self.context.upstream.open(attempt.choice.state.server, call, limit_ms)

    def failed(self, attempt: ForwardAttempt, error: StageError) -> None:
        """Record a failed attempt; return if the request may be retried.

        Raises:
            MountladderError: It may not be retried; this is the error for the caller.
        """
        self.record_failed(attempt, error)
        problem = no_retry_error(self, error)
        waits = problem is not None and self.may_wait_for_budget(error, problem)
        self.log_failed(attempt, error, _outcome(problem, waits))
        if problem is not None and not (waits and self.wait_for_budget()):
            try:
                raise problem from error
            finally:
                # The error keeps this frame, and those below it.
                del problem
        self.context.metrics.count(Metric.RETRIED, error.code.name.lower())

    def second_answer(self, attempt: ForwardAttempt) -> SecondAnswer | None:
        """Return the answer of the second server after an attempt has failed, or None.

        If the caller leaves while it is awaited, the failed attempt is recorded here.
        """
        try:
            return self.hedge.outcome()
        except BaseException:
            self.record_failure(attempt, Code.CANCELLED)
            raise

    def may_wait_for_budget(self, error: StageError, problem: MountladderError) -> bool:
        """Return whether a request that its server rejected waits for the retry budget.

        That is so if its stages have run, so that it cannot be refused any more. A late answer is
        better than an error then, while the caller is there.
        """
        is_denied = problem.code is Code.RETRY_BUDGET_SPENT
        return is_denied and not error.dispatched and self.may_have_run()

    def wait_for_budget(self) -> bool:
        """Wait until the retry budget allows a retry; return False if that takes too long."""
        clock = self.context.clock
        until = clock.now() + BUDGET_WAIT_FRACTION * self.hold.remaining_ms()
        budget = self.context.budgets.of_requests(self.service)
        while clock.now() < until:
            clock.sleep(BUDGET_POLL_MS)
            if budget.allows() and self.context.budgets.spend(self.service, self.request.id):
                return True
        return False

    def superseded(self, attempt: ForwardAttempt) -> None:
        """Record an attempt whose server was silent until a second one answered."""
        error = StageError("another server was heard of first", Code.STAGE_STALLED)
        self.context.picker.fell_silent(attempt.picked, self.silent_ms())
        self.record_tried(attempt, error)
        self.log_failed(attempt, error, "hedged")
        self.context.metrics.count(Metric.RETRIED, error.code.name.lower())

    def record_failed(self, attempt: ForwardAttempt, error: StageError) -> None:
        """Update what is known of a server and of the request from a failed attempt."""
        self.record_failure(attempt, error.code)
        self.record_tried(attempt, error)

    def record_tried(self, attempt: ForwardAttempt, error: StageError) -> None:
        """Update what is known of the request from a failed attempt."""
        self.excluded |= {attempt.server}
        self.possible_runs += error.dispatched
        self.connect_failures += error.code is Code.CONNECT_FAILED
        # Last, since this may wait, and a second attempt may be cancelled meanwhile.
        self.tracked.failed(attempt.choice.state.server, attempt.started, error)

    def record_failure(self, attempt: ForwardAttempt, code: Code) -> None:
        """Update what is known of a server from an attempt that ended with a code."""
        elapsed_ms = self.context.clock.now() - attempt.started
        self.context.picker.failed(attempt.picked, self.request, self.service, code, elapsed_ms)

    def log_failed(self, attempt: ForwardAttempt, error: StageError, outcome: str) -> None:
        """Log a failed attempt and what follows from it."""
        self.log(
            "attempt-failed",
            server=attempt.server,
            code=error.code.number,
            reason=error.detail,
            may_have_run=error.dispatched,
            elapsed_ms=round(self.context.clock.now() - attempt.started),
            silent_ms=round(self.silent_ms()),
            remaining_ms=round(self.remaining_ms()),
            outcome=outcome,
        )

    def heard(self) -> None:
        """Record that the server of the attempt in progress has sent something."""
        self.wait_for_server()
        self.hedge.heard()

    def max_silence_ms(self, has_begun: bool) -> float:
        """Return for how long a server may be silent before a further one is sent the request.

        Args:
            has_begun: Whether the server has begun to answer.
        """
        raise NotImplementedError

    def send_second(self, hedge: Hedge) -> SecondAnswer:
        """Send the request to a second server while others are silent; return its answer.

        Raises:
            MountladderError: No other server is available, or it did not answer.
        """
        inputs = self.run_stages()
        picked = self.acquire(hedge.asked)
        if picked.choice.state.server.name in hedge.asked:
            self.reservation.cancel(picked)
            raise RefusalError("no other server is available", Code.NO_SERVER_AVAILABLE)
        if not (self.is_retry_paid or self.context.budgets.spend(self.service, self.request.id)):
            self.reservation.cancel(picked)
            raise RefusalError("the retry budget is spent", Code.NO_SERVER_AVAILABLE)
        self.is_retry_paid = False
        attempt = self.begin_attempt(picked)
        hedge.record_sent(attempt.server)
        self.context.metrics.count(Metric.HEDGED)
        breaks: list[Callable[[], None]] = []
        try:
            with self.hold_second(breaks) as holder:
                return self.read_second(attempt, inputs, breaks, holder)
        except StageError as error:
            self.is_retry_paid = error.code is Code.CONNECT_FAILED
            self.record_failed(attempt, error)
            self.log_failed(attempt, error, "second attempt failed")
            raise
        except BaseException:
            self.record_cancelled(attempt)
            raise

    def read_second(
        self,
        attempt: ForwardAttempt,
        inputs: tuple[str, ...],
        breaks: list[Callable[[], None]],
        holder: Holder | None,
    ) -> SecondAnswer:
        """Return the answer of a second server; see send_second.

        Args:
            attempt: The attempt at that server.
            inputs: The handles of the stage results that the request needs.
            breaks: Is appended the function that breaks the connection to the server.
            holder: Counts the bytes held for the attempt, or None.
        """
        raise NotImplementedError

    @contextmanager
    def hold_second(self, breaks: list[Callable[[], None]]) -> Iterator[Holder | None]:
        """Count the bytes held for a second attempt, which functions break to release them."""

        def end(reason: str) -> None:
            """Break the connection to the second server."""
            for break_connection in breaks:
                break_connection()

        if self.request.holder is None:
            yield None
            return
        with self.request.holder.account.hold("server", end) as holder:
            holder.request = self.request.id
            yield holder

    def discard(self, second: SecondAnswer) -> None:
        """Cancel a second attempt that has an answer, since the first server answers."""
        second.answer.close()
        self.record_cancelled(second.attempt)

    def record_cancelled(self, attempt: ForwardAttempt) -> None:
        """Record an attempt that was cancelled, although its server may have run it."""
        self.record_failure(attempt, Code.CANCELLED)
        self.possible_runs += 1

    def may_have_run(self) -> bool:
        """Return whether the request or one of its stages may have been executed."""
        return self.possible_runs > 0 or (self.flow is not None and self.flow.begun)

    def succeeded(self, attempt: ForwardAttempt, load: int | None, streaming: bool) -> None:
        """Record an attempt that was answered; a stream continues after its first event."""
        self.hold.is_over = True
        elapsed_ms = self.context.clock.now() - attempt.started
        self.context.picker.succeeded(
            attempt.picked, self.request, self.service, elapsed_ms, load, streaming
        )

    def check_end(self, attempt: ForwardAttempt, answer: UpstreamAnswer) -> None:
        """Check that an answer that ended with its connection did not end with its server.

        Raises:
            StageError: The server has crashed, so that the answer may be incomplete.
        """
        if answer.ends_with_connection and self.has_crashed(attempt):
            raise StageError("the answer ended with its server", Code.STREAM_CUT)

    def has_crashed(self, attempt: ForwardAttempt) -> bool:
        """Return whether the server of an answer that ended with its connection has crashed.

        One that leaves may end in order behind its last answer.
        """
        server = attempt.choice.state.server
        limit_ms = min(self.remaining_ms(), REFUSAL_MS)
        if self.context.picker.directory.may_have_left(server) or limit_ms <= 0:
            return False
        return self.context.upstream.refuses(server, limit_ms)

    def record_answer(self, attempt: ForwardAttempt, answer: UpstreamAnswer) -> None:
        """Record that an attempt was answered completely, for the quarantine and the log."""
        self.answer_fields = answer.log_fields()
        if answer.ends_with_connection:
            self.tracked.ended(attempt.choice.state.server, attempt.started, self.begun_ms())
        else:
            self.tracked.answered()

    def finish(self, error: MountladderError | None = None, status: int = 0) -> None:
        """Release the results of stages and record the outcome of the request."""
        if self.hedge is not None:
            self.hedge.stop()
        self.cancel_release()
        if self.flow is not None:
            self.flow.release()
        self.reservation.release()
        metrics = self.context.metrics
        metrics.timing(Metric.REQUEST_MS, self.elapsed_ms())
        if error is None:
            metrics.count(Metric.ANSWERED)
        else:
            metrics.count(Metric.REFUSED, error.code.name.lower())
        self.log(
            "ended",
            status=status or (error.code.status if error else 0),
            code=error.code.number if error else 0,
            reason=error.detail if error else "",
            attempts=self.attempts,
            possible_runs=self.possible_runs,
            elapsed_ms=round(self.elapsed_ms()),
            remaining_ms=round(self.remaining_ms()),
            version=self.context.follower.version,
            **self.answer_fields,
        )

    def log(self, event: str, **fields: object) -> None:
        """Log an event of the request."""
        log_message(event, request=self.request.id, route=self.route.name, **fields)

    def answer(self) -> ForwardAnswer:
        """Return the answer for the caller.

        Raises:
            MountladderError: The request was refused or failed.
        """
        raise NotImplementedError


def _outcome(problem: MountladderError | None, waits: bool) -> str:
    if problem is None:
        return "retried"
    return "waits for the retry budget" if waits else "not retried"
