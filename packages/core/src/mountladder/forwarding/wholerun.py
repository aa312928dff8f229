# wholerun.py -- Executes a forwarded request whose answer is buffered
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Executes a forwarded request whose answer is buffered."""

from __future__ import annotations

from mountladder.code import Code
from mountladder.errors import MountladderError, RunError, StageError
from mountladder.forwarding.forwardanswer import ForwardAnswer
from mountladder.forwarding.forwardattempt import ForwardAttempt
from mountladder.forwarding.forwardrun import ForwardRun
from mountladder.forwarding.upstreamanswer import UpstreamAnswer

# The lowest HTTP status that reports an error of the server.
SERVER_ERROR = 500
# An idempotent request is sent to another server if no answer begins within this fraction of its
# latency target. Calls take about a third of the target, so the second answer can be on time.
FIRST_ATTEMPT_FRACTION = 0.6
MIN_ANSWER_TIMEOUT_MS = 100.0


class WholeRun(ForwardRun):
    """A request whose answer is forwarded once it is complete."""

    def answer(self) -> ForwardAnswer:
        """Return the answer; see ForwardRun."""
        try:
            answer = self.try_servers(self.run_stages())
        except MountladderError as error:
            self.finish(error)
            raise
        except BaseException:
            self.finish(RunError("", Code.CANCELLED))
            raise
        self.finish(status=answer.status)
        return answer

    def try_servers(self, inputs: tuple[str, ...]) -> ForwardAnswer:
        """Send the request to one server after another until one answers."""
        while True:
            attempt = self.start_attempt()
            answer = None
            try:
                answer = self.call(
                    attempt, inputs, self.request.last_event_id, self.answer_timeout_ms()
                )
                body = answer.read(self.remaining_ms())
                self.check(answer)
            except StageError as error:
                self.failed(attempt, error)
                continue
            except BaseException:
                self.record_cancelled(attempt)
                if answer is not None:
                    answer.close()
                raise
            if answer.status >= SERVER_ERROR and self.retries_after(attempt, answer):
                continue
            if answer.status < SERVER_ERROR:
                self.succeeded(attempt, answer.load, streaming=False)
                self.tracked.answered()
            return ForwardAnswer(answer.status, answer.headers, body)

    def check(self, answer: UpstreamAnswer) -> None:
        """Check that a successful answer has the server's signature.

        Raises:
            StageError: The signature is missing or wrong.
        """
        if answer.status < 300 and not answer.signed:
            raise StageError("a successful answer without the server's signature", Code.BAD_ANSWER)

    def retries_after(self, attempt: ForwardAttempt, answer: UpstreamAnswer) -> bool:
        """Record an error status of a server; return whether the request is retried."""
        error = StageError(f"status {answer.status}", Code.STAGE_FAILED)
        try:
            self.failed(attempt, error)
        except MountladderError:
            return False
        return True

    def answer_timeout_ms(self) -> float:
        """Return the timeout for the head of the answer, in milliseconds."""
        is_last = self.attempts >= self.route.max_attempts
        if not self.route.repeatable or is_last:
            return self.remaining_ms()
        timeout_ms = max(MIN_ANSWER_TIMEOUT_MS, FIRST_ATTEMPT_FRACTION * self.route.target_ms)
        return min(self.remaining_ms(), timeout_ms)

    def record_cancelled(self, attempt: ForwardAttempt) -> None:
        """Record an attempt that was cancelled because the caller disconnected."""
        elapsed_ms = self.context.clock.now() - attempt.started
        self.context.picker.failed(
            attempt.picked, self.request, self.service, Code.CANCELLED, elapsed_ms
        )
