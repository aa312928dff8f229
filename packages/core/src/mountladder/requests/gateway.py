# gateway.py -- Validation, admission and execution of requests on an instance
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Validation, admission and execution of requests on an instance."""

from __future__ import annotations

import hashlib
import itertools
import json
from collections.abc import Iterator

from gevent.pool import Group

from mountladder.claims.idempotency import Idempotency, check_key
from mountladder.claims.keyrecord import KeyRecord
from mountladder.code import Code
from mountladder.configuration.team import Team
from mountladder.errors import MountladderError, RefusalError
from mountladder.limits.admission import Admission
from mountladder.limits.teamusage import TeamUsage
from mountladder.metrics.metric import Metric
from mountladder.requests.callerrequest import CallerRequest
from mountladder.requests.chunk import Chunk
from mountladder.requests.detachedrun import DetachedRun
from mountladder.requests.pipelinerun import PipelineRun
from mountladder.requests.reply import Reply
from mountladder.requests.request import Request
from mountladder.requests.runcontext import RunContext
from mountladder.requests.trace import Trace
from mountladder.requests.traceregistry import TraceRegistry
from mountladder.resultclass import ResultClass
from mountladder.routing.estimate import estimate

MAX_DEADLINE_MS = 600_000.0
# Min. interval between requests of a pipeline that are admitted against the estimate.
PROBE_INTERVAL_MS = 2_000.0
# No request is admitted against the estimate if that exceeds this multiple of the remaining time.
HOPELESS_FACTOR = 1.5
# A request is refused if its weighted estimate exceeds this fraction of the remaining time.
DEADLINE_FRACTION = 0.85
# Exponent of a team's excess over its share, which weights the load in its requests' estimates.
EXCESS_EXPONENT = 2.0
# Up to this multiple of its share, a team's requests are not weighted.
TOLERATED_EXCESS = 1.5
# The retry_after_ms of refusals.
REFUSED_RETRY_MS = 1_000.0
# These errors are raised before the key is looked up: an earlier request with it may have run.
_BEFORE_KEY_LOOKUP = frozenset({Code.NOT_READY, Code.STORE_NEEDED})


class Gateway:
    """Validates requests, decides whether to admit them, runs them and records their outcomes.

    Args:
        incarnation: The incarnation of this instance, which request ids start with.
        context: The components shared by all runs.
        admission: Limits the running and waiting requests.
        idempotency: Decides whether a request with a key may run.
        traces: Stores the traces.

    Attributes:
        runs: The tasks of runs that continue after their callers disconnect.
    """

    def __init__(
        self,
        incarnation: str,
        context: RunContext,
        admission: Admission,
        idempotency: Idempotency,
        traces: TraceRegistry,
    ) -> None:
        self.incarnation = incarnation
        self.context = context
        self.admission = admission
        self.idempotency = idempotency
        self.traces = traces
        self.usage = TeamUsage(context.clock)
        self.runs = Group()
        self.numbers = itertools.count(1)
        self.probed_at: dict[str, float] = {}

    def serve(self, caller_request: CallerRequest) -> Reply:
        """Process a request up to the point where it runs.

        Returns:
            The reply. A run starts when its chunks are read.

        Raises:
            RefusalError: It did not run.
            RunError: A request with its key is running, or has an unknown outcome.
        """
        self.context.metrics.count(Metric.REQUESTS)
        try:
            request = self.read(caller_request)
            if request.repeatable:
                return self.run_reply(request, None)
            decision = self.idempotency.decide(request)
        except MountladderError as error:
            if caller_request.key and not caller_request.first and error.code in _BEFORE_KEY_LOOKUP:
                error.result = ResultClass.UNKNOWN
            self.count_error(error)
            raise
        if decision.stored_answer is not None:
            return Reply(request, stored_answer=decision.stored_answer)
        if decision.issued_key is not None:
            return Reply(request, issued_key=decision.issued_key)
        return self.run_reply(request, decision.record)

    def read(self, caller_request: CallerRequest) -> Request:
        """Validate and authenticate a request.

        Raises:
            RefusalError: It is malformed, its token is unknown, or it lacks a key.
        """
        team = self.authenticate(caller_request.token)
        pipeline = self.context.follower.configuration.pipeline(caller_request.pipeline)
        if pipeline is None:
            raise RefusalError(
                f"there is no pipeline {caller_request.pipeline!r}", Code.UNKNOWN_PIPELINE
            )
        allowed_ms = (
            pipeline.deadline_ms
            if caller_request.deadline_ms is None
            else caller_request.deadline_ms
        )
        if not 0 < allowed_ms <= MAX_DEADLINE_MS:
            raise RefusalError(f"deadline_ms: {allowed_ms!r} is out of range", Code.BAD_REQUEST)
        request = Request(
            id=f"{self.incarnation}-{next(self.numbers)}",
            pipeline=pipeline,
            team=team,
            input=caller_request.input,
            deadline=caller_request.arrived + allowed_ms,
            key=caller_request.key,
            idempotent=caller_request.idempotent,
        )
        check_key(request.key)
        if not request.repeatable and not request.key:
            raise RefusalError("", Code.KEY_MISSING)
        return request

    def authenticate(self, token: str) -> Team:
        """Return the team to which a token belongs.

        Raises:
            RefusalError: It belongs to no team, or no configuration is known yet.
        """
        if not self.context.follower.ready:
            raise RefusalError("", Code.NOT_READY, retry_after_ms=REFUSED_RETRY_MS)
        digest = hashlib.sha256(token.encode()).hexdigest()
        team = self.context.follower.configuration.team_of(digest)
        if team is None:
            raise RefusalError("", Code.UNAUTHENTICATED)
        return team

    def run_reply(self, request: Request, record: KeyRecord | None) -> Reply:
        """Return the reply to a request that runs on this instance."""
        trace = Trace(request.id, self.context.clock, self.context.follower.configuration.revision)
        self.traces.add(trace)
        trace.add("received", reason=f"pipeline {request.pipeline.name}, team {request.team.name}")
        run = PipelineRun(request, trace, self.context)
        chunks = self.run(run) if record is None else self.run_once(run, record)
        return Reply(request, chunks=chunks, answer=lambda: run.answer.encode())

    def run(self, run: PipelineRun) -> Iterator[Chunk]:
        """Run a request that may be repeated, in the caller's task."""
        error: MountladderError | None = None
        try:
            self.admit(run.request)
            try:
                yield from run.chunks()
            finally:
                self.admission.leave(run.request.team)
        except MountladderError as caught:
            error = caught
            raise
        except GeneratorExit:
            error = RefusalError("", Code.CANCELLED)
            raise
        finally:
            self.record_outcome(run, error)

    def run_once(self, run: PipelineRun, record: KeyRecord) -> Iterator[Chunk]:
        """Run a request that must not be repeated, in a task that its caller cannot cancel."""
        try:
            self.admit(run.request)
        except BaseException as error:
            self.idempotency.release(record)
            if isinstance(error, MountladderError):
                self.record_outcome(run, error)
            raise

        def on_finished(error: MountladderError | None) -> None:
            """Record the outcome of the key and of the request once the run finished."""
            self.admission.leave(run.request.team)
            if error is None:
                self.idempotency.finish(record, run.answer.encode())
            else:
                self.idempotency.fail(record, error, run.attempts.dispatched)
            self.record_outcome(run, error)

        yield from DetachedRun(run, self.context.clock, on_finished, self.runs).read()

    def admit(self, request: Request) -> None:
        """Wait for admission, or refuse a request that is not expected to meet its deadline.

        The part of the estimate that is due to load weighs more for a team over its share, so that
        its requests are refused before those of other teams under overload.

        Raises:
            RefusalError: The deadline cannot be met, or the request is not admitted in time.
        """
        now = self.context.clock.now()
        expected = estimate(self.context, request)
        excess = max(1.0, self.usage.excess(request.team) / TOLERATED_EXCESS) ** EXCESS_EXPONENT
        weighted_ms = expected.unloaded_ms + expected.load_delay_ms * excess
        remaining_ms = request.deadline - now
        hopeless = expected.expected_ms > HOPELESS_FACTOR * remaining_ms
        if weighted_ms > DEADLINE_FRACTION * remaining_ms and (
            hopeless or not self.may_probe(request.pipeline.name, now)
        ):
            code = Code.DEADLINE_UNMEETABLE
            if expected.expected_ms <= DEADLINE_FRACTION * remaining_ms:
                code = Code.TEAM_LIMIT
            detail = f"it is expected to take {expected.expected_ms:.0f} ms"
            raise RefusalError(detail, code, retry_after_ms=REFUSED_RETRY_MS)
        latest = max(now, request.deadline - expected.expected_ms)
        self.admission.enter(request.team, request.pipeline.urgency, latest)
        self.usage.add(request.team, expected.unloaded_ms)

    def may_probe(self, pipeline: str, now: float) -> bool:
        """Return whether a request may run despite its estimate, to correct a wrong one."""
        if now - self.probed_at.get(pipeline, float("-inf")) < PROBE_INTERVAL_MS:
            return False
        self.probed_at[pipeline] = now
        return True

    def record_outcome(self, run: PipelineRun, error: MountladderError | None) -> None:
        """Record the outcome of a request in the metrics and its trace."""
        metrics = self.context.metrics
        now = self.context.clock.now()
        metrics.timing(Metric.REQUEST_MS, now - run.trace.started)
        if error is None:
            metrics.count(Metric.ANSWERED)
            if now > run.request.deadline:
                metrics.count(Metric.LATE)
            run.trace.add("done")
            return
        self.count_error(error)
        run.trace.add("ended", error.stage, "", "", error.code.number, error.detail)

    def count_error(self, error: MountladderError) -> None:
        """Count a refusal or failure by its code."""
        self.context.metrics.count(Metric.REFUSED, error.code.name.lower())


def problem(error: MountladderError, request: Request | None) -> bytes:
    """Return an error as a problem document in JSON."""
    repeatable = request is not None and request.repeatable
    table = {
        "type": f"urn:mountladder:code:{error.code.number}",
        "title": error.code.meaning,
        "status": error.code.status,
        "code": error.code.number,
        "name": error.code.name.lower(),
        "class": error.result.value,
        "stage": error.stage,
        "detail": error.detail,
        "repeat_safe": error.result is ResultClass.NOT_RUN or repeatable,
        "request": request.id if request is not None else "",
    }
    if error.retry_after_ms is not None:
        table["retry_after_ms"] = error.retry_after_ms
    return json.dumps(table).encode()
