# wholerun.py -- Execution of a forwarded request whose answer is buffered
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
FAILURE = 500
# An idempotent request is sent to another server if no answer begins within this fraction of its
# latency target. Calls take about a third of the target, so the second answer can be on time.
FIRST_PART = 0.6
LEAST_PATIENCE_MS = 100.0


class WholeRun(ForwardRun):
    """A request whose answer is forwarded once it is complete."""

    def answer(self) -> ForwardAnswer:
        """Return the answer; see ForwardRun."""
        try:
            answer = self.try_servers(self.make_inputs())
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
            attempt = self.begin()
            answer = None
            try:
                answer = self.call(attempt, inputs, self.request.after_event, self.patience_ms())
                body = answer.read(self.left())
                self.check(answer)
            except StageError as error:
                self.failed(attempt, error)
                continue
            except BaseException:
                self.abandoned(attempt)
                if answer is not None:
                    answer.close()
                raise
            if answer.status >= FAILURE and self.tries_again(attempt, answer):
                continue
            if answer.status < FAILURE:
                self.succeeded(attempt, answer.load, goes_on=False)
                self.case.answered()
            return ForwardAnswer(answer.status, answer.headers, body)

    def check(self, answer: UpstreamAnswer) -> None:
        """Check that a successful answer has the server's signature.

        Raises:
            StageError: The signature is missing or wrong.
        """
        if answer.status < 300 and not answer.signed:
            raise StageError("a successful answer without the server's signature", Code.BAD_ANSWER)

    def tries_again(self, attempt: ForwardAttempt, answer: UpstreamAnswer) -> bool:
        """Record an error status of a server; return whether the request is retried."""
        error = StageError(f"status {answer.status}", Code.STAGE_FAILED)
        try:
            self.failed(attempt, error)
        except MountladderError:
            return False
        return True

    def patience_ms(self) -> float:
        """Return the timeout for the head of the answer, in milliseconds."""
        last = self.sendings >= self.route.most_attempts
        if not self.route.repeatable or last:
            return self.left()
        part = max(LEAST_PATIENCE_MS, FIRST_PART * self.route.aim_ms)
        return min(self.left(), part)

    def abandoned(self, attempt: ForwardAttempt) -> None:
        """Record an attempt that was cancelled because the caller disconnected."""
        elapsed_ms = self.context.clock.now() - attempt.started
        self.context.picker.failed(
            attempt.picked, self.request, self.service, Code.CANCELLED, elapsed_ms
        )
