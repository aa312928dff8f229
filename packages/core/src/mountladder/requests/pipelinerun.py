# pipelinerun.py -- Runs the stages of a pipeline for one request
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Runs the stages of a pipeline for one request."""

from __future__ import annotations

import json
import re
from collections.abc import Iterator

import gevent

from mountladder.code import Code
from mountladder.configuration.softwareversion import version_of
from mountladder.configuration.stage import Stage
from mountladder.errors import MountladderError, RefusalError, RunError, StageError
from mountladder.requests.answer import Answer
from mountladder.requests.attempts import Attempts
from mountladder.requests.chunk import Chunk
from mountladder.requests.request import Request
from mountladder.requests.retrystate import RetryState
from mountladder.requests.runcontext import RunContext
from mountladder.requests.stageplan import levels
from mountladder.requests.trace import Trace
from mountladder.routing.tokeninterval import TokenInterval

# The retry_after_ms of refusals that have none of their own.
DEFAULT_RETRY_AFTER_MS = 1_000.0
_DATA = re.compile(rb'^data: "(.*)"$', re.MULTILINE)


class PipelineRun:
    """Runs the stages of one request, with retries, and builds its answer.

    Attributes:
        attempts: Starts and records the attempts at its stages.
        answer: The complete answer, once every stage is done.
    """

    def __init__(self, request: Request, trace: Trace, context: RunContext) -> None:
        self.request = request
        self.trace = trace
        self.context = context
        self.results: dict[str, bytes] = {}
        self.attempts = Attempts(request, trace, context)
        self.events: list[bytes] = []
        self.tokens = 0
        self.answer: Answer | None = None

    def chunks(self) -> Iterator[Chunk]:
        """Run all stages and yield the tokens of the last one if it streams.

        Raises:
            RefusalError: No stage was dispatched.
            RunError: A stage failed and was not retried, or its outcome is unknown.
        """
        stages = self.request.pipeline.stages
        try:
            self.attempts.tracked.check(stage.name for stage in stages)
            for group in levels(stages):
                if group[-1] is stages[-1] and stages[-1].stream:
                    self.run_group(group[:-1])
                    yield from self.stream(group[-1])
                else:
                    self.run_group(group)
        except MountladderError as error:
            raise self.final_error(error) from error
        self.answer = self.make_answer()

    def run_group(self, group: list[Stage]) -> None:
        """Run independent stages concurrently."""
        if len(group) <= 1:
            for stage in group:
                self.run_stage(stage)
            return
        tasks = [gevent.spawn(self.run_stage, stage) for stage in group]
        try:
            gevent.joinall(tasks, raise_error=True)
        finally:
            gevent.killall(tasks)

    def run_stage(self, stage: Stage) -> None:
        """Run a stage that is not streamed."""
        retry_state = RetryState(stage, self.body(stage), self.context.clock.now())
        while stage.name not in self.results:
            attempt = self.attempts.start(retry_state, self.remaining_stages())
            with self.attempts.record_failures(attempt, retry_state):
                result = self.context.backend.run(attempt.choice.state.server, attempt.call)
                self.attempts.record_success(attempt, retry_state, result.load)
                self.results[stage.name] = result.value

    def stream(self, stage: Stage) -> Iterator[Chunk]:
        """Run a streamed stage; if it is cut, resume it on a server of the same version."""
        retry_state = RetryState(stage, self.body(stage), self.context.clock.now())
        while stage.name not in self.results:
            attempt = self.attempts.start(retry_state, self.remaining_stages())
            interval = TokenInterval(self.context, attempt)
            load = None
            with self.attempts.record_failures(attempt, retry_state):
                for chunk in self.context.backend.stream(attempt.choice.state.server, attempt.call):
                    load = chunk.load
                    interval.add(chunk)
                    if not retry_state.tokens:
                        retry_state.version = version_of(attempt.choice.state.server)
                    retry_state.tokens += chunk.count
                    self.events.append(chunk.events)
                    yield chunk
                text = self.full_text()
                self.attempts.record_success(attempt, retry_state, load)
                self.tokens = retry_state.tokens
                self.results[stage.name] = text

    def remaining_stages(self) -> list[Stage]:
        """Return the stages without a result."""
        return [stage for stage in self.request.pipeline.stages if stage.name not in self.results]

    def body(self, stage: Stage) -> bytes:
        """Return the body of a stage's call: model, input and the results the stage depends on."""
        needed = b",".join(
            json.dumps(name).encode() + b":" + self.results[name] for name in stage.after
        )
        model = json.dumps(stage.model).encode()
        return b'{"model":%b,"input":%b,"results":{%b}}' % (model, self.request.input, needed)

    def full_text(self) -> bytes:
        """Return the streamed text as one JSON string.

        Raises:
            StageError: The tokens do not form a JSON string.
        """
        text = b'"%b"' % b"".join(_DATA.findall(b"".join(self.events)))
        try:
            json.loads(text)
        except ValueError as error:
            raise StageError(f"a token is not JSON: {error}", Code.BAD_ANSWER) from error
        return text

    def make_answer(self) -> Answer:
        """Return the complete answer."""
        result = self.results[self.request.pipeline.stages[-1].name]
        return Answer(
            self.request.id, self.trace.revision, result, self.tokens, tuple(self.attempts.timings)
        )

    def final_error(self, error: MountladderError) -> MountladderError:
        """Return an error for the caller: its class is "not_run" only if nothing was sent."""
        if not self.attempts.dispatched:
            retry_after_ms = error.retry_after_ms or DEFAULT_RETRY_AFTER_MS
            return RefusalError(
                error.detail, _not_run(error.code), error.stage, retry_after_ms=retry_after_ms
            )
        if isinstance(error, RunError):
            return error
        if error.code is Code.QUARANTINED:
            return RunError(error.detail, Code.SERVERS_ENDED, error.stage)
        code = error.code if error.code.result.value != "not_run" else Code.STAGE_FAILED
        return RunError(error.detail, code, error.stage)


def _not_run(code: Code) -> Code:
    if code.result.value == "not_run":
        return code
    return Code.DEADLINE_UNMEETABLE if code is Code.DEADLINE_PASSED else Code.NO_SERVER_AVAILABLE
