# attempts.py -- Attempts at the stages of one request and the rules of their retries
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0
"""Attempts at the stages of one request and the rules of their retries."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from contextlib import contextmanager

import gevent
from eliot import log_message

from mountladder.accounts.charge import Charge
from mountladder.code import Code
from mountladder.configuration.softwareversion import running_version
from mountladder.configuration.stage import Stage
from mountladder.errors import RunError, StageError
from mountladder.metrics.metric import Metric
from mountladder.requests.attempt import Attempt
from mountladder.requests.request import Request
from mountladder.requests.retrystate import RetryState
from mountladder.requests.runcontext import RunContext
from mountladder.requests.stagecall import StageCall
from mountladder.requests.stageplan import stage_budget
from mountladder.requests.trace import Trace
from mountladder.routing.choice import Choice
from mountladder.routing.stagetiming import StageTiming

# Max. number of attempts at one stage.
MAX_ATTEMPTS = 4
# Mean pause before the first retry; it doubles with each retry and is jittered by half.
BACKOFF_MS = 20.0
# How much of a request's input is hashed to route equal prompt prefixes to the same engine.
PREFIX_BYTES = 256
# The first attempt is given up after this multiple of its expected time, if another one is allowed;
# see timeout_ms().
TIMEOUT_FACTOR = 4.0
# Min. timeout of an attempt, and of a gap between tokens of a stream.
STALL_TIMEOUT_MS = 1_000.0
# How long a stage that must not be repeated may run past the deadline.
GRACE_MS = 30_000.0
# A stage is not started if it is expected to take more than this multiple of the remaining time.
GIVE_UP_FACTOR = 1.15


class Attempts:
    """Starts attempts at stages, records their outcomes and decides whether they are retried.

    Args:
        request: The request.
        trace: Records each attempt.
        context: The components shared by all runs.

    Attributes:
        dispatched: Whether any stage may have begun to run at a backend server.
        unrepeatable: The stages that may have run and must not be repeated.
        timings: The server and duration of each finished stage.
        tracked: The request as tracked by the quarantine.
    """

    def __init__(self, request: Request, trace: Trace, context: RunContext) -> None:
        self.request = request
        self.trace = trace
        self.context = context
        self.dispatched = False
        self.unrepeatable: set[str] = set()
        self.timings: list[StageTiming] = []
        texts = (request.team.name, request.pipeline.name)
        self.tracked = context.quarantine.track(request.id, texts, request.input)

    @contextmanager
    def record_failures(self, attempt: Attempt, retry_state: RetryState) -> Iterator[None]:
        """Record an attempt that fails or is cancelled in this block; pass if it may be retried.

        Raises:
            RunError: It failed and may not be retried.
        """
        try:
            yield
        except StageError as error:
            self.record_failure(attempt, retry_state, error)
        except BaseException:
            self.record_cancelled(attempt)
            raise

    def start(self, retry_state: RetryState, remaining_stages: Sequence[Stage]) -> Attempt:
        """Choose a server by the newest known configuration and build the call.

        Args:
            retry_state: The attempts at the stage so far.
            remaining_stages: The stages not yet run, this one included.

        Raises:
            StageError: No time is left or no server is available; nothing was sent.
        """
        clock = self.context.clock
        stage, body = retry_state.stage, retry_state.body
        remaining_ms = self.request.deadline - clock.now()
        if remaining_ms <= 0:
            raise StageError(
                "the deadline passed before the stage was sent", Code.DEADLINE_PASSED, False
            )
        self.tracked.of_stage(stage.name).admit(remaining_ms)
        remaining_ms = self.request.deadline - clock.now()
        configuration = self.context.follower.configuration
        budget = stage_budget(
            self.context.cost_model, self.request.pipeline, stage, remaining_stages, remaining_ms
        )
        choice = self.context.router.pick(
            running_version(
                configuration.servers_for(stage, self.request.team), retry_state.version
            ),
            stage,
            len(body),
            budget,
            retry_state.failed,
            hash(self.request.input[:PREFIX_BYTES]) if stage.work == "generate" else None,
        )
        self.reject_late(choice, retry_state, remaining_ms)
        retry_state.count += 1
        if not self.may_repeat(stage):
            self.unrepeatable.add(stage.name)
        call = self.make_call(retry_state, choice, remaining_ms)
        self.trace.add(
            "sent", stage.name, call.attempt, choice.state.server.name, 0, choice.reason()
        )
        return Attempt(choice, call, clock.now())

    def reject_late(self, choice: Choice, retry_state: RetryState, remaining_ms: float) -> None:
        """Raise StageError if the chosen server is expected to miss the deadline by a wide margin.

        A stage that must not be repeated is sent all the same.
        """
        if choice.expected_ms > GIVE_UP_FACTOR * remaining_ms and self.may_repeat(
            retry_state.stage
        ):
            self.context.router.cancel(choice)
            detail = f"it was expected to take {choice.expected_ms:.0f} ms"
            raise StageError(detail, Code.DEADLINE_PASSED, False)

    def make_call(self, retry_state: RetryState, choice: Choice, remaining_ms: float) -> StageCall:
        """Return the call of the next attempt.

        An attempt that may be repeated is given up early enough for another one. One that must not
        be repeated may run past the deadline, so that its outcome becomes known.
        """
        stage = retry_state.stage
        timeout_ms = self.timeout_ms(retry_state, choice.expected_ms, remaining_ms)
        limit_ms = remaining_ms if stage.stream else max(remaining_ms, timeout_ms)
        return StageCall(
            request=self.request.id,
            attempt=f"{self.request.id}.{stage.name}.{retry_state.count}",
            stage=stage,
            body=retry_state.body,
            deadline=self.context.clock.now() + limit_ms,
            priority=self.request.pipeline.urgency,
            tokens_held=retry_state.tokens,
            first_token_timeout_ms=timeout_ms,
            stall_timeout_ms=STALL_TIMEOUT_MS,
            may_give_up=lambda: self.may_give_up(choice, retry_state),
        )

    def may_give_up(self, choice: Choice, retry_state: RetryState) -> bool:
        """Return whether an attempt whose server is silent may be given up for another one.

        If so, this takes the retry out of the stage's budget.
        """
        stage, server = retry_state.stage, choice.state.server
        obstacle = self.retry_obstacle(choice, retry_state)
        if not obstacle:
            retry_state.is_admitted = self.context.budgets[self.budget_name(stage)].spend()
            obstacle = "" if retry_state.is_admitted else "the retry budget is spent"
        log_message(
            "attempt-kept" if obstacle else "attempt-given-up",
            request=self.request.id,
            stage=stage.name,
            server=server.name,
            attempt=retry_state.count,
            remaining_ms=round(self.request.deadline - self.context.clock.now()),
            reason=obstacle,
        )
        return not obstacle

    def retry_obstacle(self, choice: Choice, retry_state: RetryState) -> str:
        """Return why no other attempt may follow, or an empty string if the budget decides."""
        stage, now = retry_state.stage, self.context.clock.now()
        if not self.may_repeat(stage):
            return "it must not be repeated"
        if retry_state.count >= MAX_ATTEMPTS:
            return "no further attempt is allowed"
        allowed = self.context.follower.configuration.servers_for(stage, self.request.team)
        failed = retry_state.failed | {choice.state.server.name}
        others = [
            one
            for one in running_version(allowed, retry_state.version)
            if one.name not in failed and self.context.router.state(one).usable(now)
        ]
        return "" if others else "no other server is available"

    def timeout_ms(self, retry_state: RetryState, expected_ms: float, remaining_ms: float) -> float:
        """Return the timeout of an attempt, or of its first token if it streams.

        It doubles with each attempt, in case the expected time was too low. An attempt after which
        no time for another would remain may use all the time that is left.
        """
        if not self.may_repeat(retry_state.stage):
            return remaining_ms + GRACE_MS
        timeout_ms = max(TIMEOUT_FACTOR * expected_ms, STALL_TIMEOUT_MS) * 2 ** (
            retry_state.count - 1
        )
        return remaining_ms if remaining_ms - timeout_ms < expected_ms else timeout_ms

    def may_repeat(self, stage: Stage) -> bool:
        """Return whether a stage may be run again after it may have run."""
        return stage.idempotent and self.request.idempotent

    def record_success(self, attempt: Attempt, retry_state: RetryState, load: int | None) -> None:
        """Record an attempt that returned its complete result."""
        self.mark_dispatched()
        stage = retry_state.stage
        elapsed_ms = self.elapsed_ms(attempt)
        self.context.router.record_success(
            attempt.choice, stage, len(retry_state.body), elapsed_ms, load
        )
        total_ms = self.context.clock.now() - retry_state.started
        self.context.cost_model.record_total(self.request.pipeline.name, stage, total_ms)
        self.context.budgets[self.budget_name(stage)].earn()
        late = self.context.clock.now() > self.request.deadline
        cost = self.charge(attempt, "late" if late else "useful")
        server = attempt.choice.state.server.name
        self.timings.append(
            StageTiming(stage.name, server, retry_state.count, round(elapsed_ms, 1), round(cost, 6))
        )
        self.context.metrics.timing(Metric.STAGE_MS, total_ms, stage.name)
        self.trace.add("answered", stage.name, attempt.call.attempt, server)
        self.tracked.of_stage(stage.name).answered()

    def record_failure(self, attempt: Attempt, retry_state: RetryState, error: StageError) -> None:
        """Record a failed attempt and pause before a retry.

        Raises:
            RunError: It may not be retried.
        """
        stage = retry_state.stage
        if error.dispatched:
            self.mark_dispatched()
        else:
            self.unrepeatable.discard(stage.name)
        if self.context.clock.now() >= self.request.deadline:
            error = StageError(error.detail, Code.DEADLINE_PASSED, error.dispatched)
        server = attempt.choice.state.server
        self.context.router.record_failure(
            attempt.choice, error.code, self.elapsed_ms(attempt), stage, len(retry_state.body)
        )
        self.charge(attempt, "late" if error.code is Code.DEADLINE_PASSED else "retried")
        self.trace.add(
            "failed", stage.name, attempt.call.attempt, server.name, error.code.number, error.detail
        )
        if error.code in {Code.DEADLINE_PASSED, Code.STAGE_STALLED}:
            self.cancel(attempt)
        self.tracked.of_stage(stage.name).failed(server, attempt.started, error)
        self.check_retry(stage, retry_state, error)
        retry_state.failed |= {server.name}
        self.context.metrics.count(Metric.RETRIED, error.code.name.lower())
        if retry_state.tokens:
            self.context.metrics.count(Metric.RESUMED)
        pause_ms = BACKOFF_MS * 2 ** (retry_state.count - 1) * self.context.rng.uniform(0.5, 1.5)
        self.context.clock.sleep(min(pause_ms, max(0.0, self.request.deadline - attempt.started)))

    def check_retry(self, stage: Stage, retry_state: RetryState, error: StageError) -> None:
        """Raise RunError if a failed attempt may not be retried."""
        if error.dispatched and not self.may_repeat(stage):
            detail = f"{error.detail}; it is not idempotent and not retried"
            raise RunError(detail, Code.OUTCOME_UNKNOWN, stage.name) from error
        if error.code in {Code.DEADLINE_PASSED, Code.STAGE_FAILED}:
            raise RunError(error.detail, error.code, stage.name) from error
        if retry_state.count >= MAX_ATTEMPTS:
            raise RunError(error.detail, error.code, stage.name) from error
        is_admitted, retry_state.is_admitted = retry_state.is_admitted, False
        if not is_admitted and not self.context.budgets[self.budget_name(stage)].spend():
            raise RunError(error.detail, Code.RETRY_BUDGET_SPENT, stage.name) from error

    def record_cancelled(self, attempt: Attempt) -> None:
        """Record an attempt whose request was cancelled, and cancel it at its server."""
        self.mark_dispatched()
        stage, body = attempt.call.stage, attempt.call.body
        self.context.router.record_failure(attempt.choice, Code.CANCELLED, 0.0, stage, len(body))
        self.charge(attempt, "cancelled")
        server = attempt.choice.state.server.name
        code = Code.CANCELLED.number
        self.trace.add("cancelled", attempt.call.stage.name, attempt.call.attempt, server, code)
        self.cancel(attempt)

    def cancel(self, attempt: Attempt) -> None:
        """Ask the server to cancel an attempt, without waiting for it."""
        self.context.metrics.count(Metric.CANCELLED)
        server = attempt.choice.state.server
        gevent.spawn(self.context.backend.cancel, server, attempt.call.attempt)

    def mark_dispatched(self) -> None:
        """Record that a stage may have begun to run."""
        self.dispatched = True

    def elapsed_ms(self, attempt: Attempt) -> float:
        """Return how long an attempt has taken so far, in milliseconds."""
        return self.context.clock.now() - attempt.started

    def charge(self, attempt: Attempt, use: str) -> float:
        """Charge the time of an attempt to the ledger and return its cost."""
        server = attempt.choice.state.server
        elapsed_ms = self.elapsed_ms(attempt)
        charge = Charge(
            self.request.team.name,
            self.request.pipeline.name,
            attempt.call.stage.name,
            server.accelerator or server.serves,
            use,
        )
        self.context.ledger.add(charge, server, elapsed_ms)
        return elapsed_ms / 1000.0 * server.price

    def budget_name(self, stage: Stage) -> str:
        """Return the name of the retry budget of a stage."""
        return f"{self.request.pipeline.name}/{stage.name}"
