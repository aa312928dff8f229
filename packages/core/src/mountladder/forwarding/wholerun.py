# wholerun.py -- Executes a forwarded request whose answer is buffered
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Executes a forwarded request whose answer is buffered."""

from __future__ import annotations

from collections.abc import Callable

from mountladder.code import Code
from mountladder.continuation.continuation import SUCCESS_END
from mountladder.errors import MountladderError, RunError, StageError
from mountladder.forwarding.forwardanswer import ForwardAnswer
from mountladder.forwarding.forwardattempt import ForwardAttempt
from mountladder.forwarding.forwardrun import ForwardRun
from mountladder.forwarding.retryrules import SERVER_ERROR, status_error
from mountladder.forwarding.secondanswer import SecondAnswer
from mountladder.forwarding.upstreamanswer import UpstreamAnswer
from mountladder.memory.holder import Holder

# An idempotent request is sent to another server as well if there is no answer within this fraction
# of its latency target. Calls take about a third of that, so the second answer can be on time.
FIRST_ATTEMPT_FRACTION = 0.6
MIN_SILENCE_MS = 100.0


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
            try:
                answer, body = self.exchange(attempt, inputs, self.hedge.start, self.heard)
            except StageError as error:
                second = self.second_answer(attempt)
                if second is None:
                    self.failed(attempt, error)
                    continue
                self.superseded(attempt)
                attempt, answer, body = self.adopt(second)
            except BaseException:
                self.record_failure(attempt, Code.CANCELLED)
                raise
            if answer.status >= SERVER_ERROR:
                second = self.second_answer(attempt)
                if second is not None:
                    self.record_failed(attempt, status_error(answer))
                    attempt, answer, body = self.adopt(second)
                elif self.retries_after(attempt, answer):
                    continue
            if answer.status < SERVER_ERROR:
                self.hedge.stop()
                self.succeeded(attempt, answer.load, streaming=False)
                self.record_answer(attempt, answer)
            return ForwardAnswer(answer.status, answer.headers, body, answer.ends_with_connection)

    def exchange(
        self,
        attempt: ForwardAttempt,
        inputs: tuple[str, ...],
        connected: Callable[[Callable[[], None]], None],
        heard: Callable[[], None],
        holder: Holder | None = None,
    ) -> tuple[UpstreamAnswer, bytes]:
        """Send the request to one server and return its answer with the whole body.

        Args:
            attempt: The attempt at the server.
            inputs: The handles of the stage results that the request needs.
            connected: Called when the connection is open; see ForwardCall.
            heard: Called with each part of the answer.
            holder: Counts the bytes held for the attempt, or None for that of the caller.

        Raises:
            StageError: There is no valid answer.
        """
        answer = None
        try:
            limit_ms, last_event_id = self.remaining_ms(), self.request.last_event_id
            answer = self.call(attempt, inputs, last_event_id, limit_ms, connected, holder=holder)
            if answer.status >= SERVER_ERROR:
                # A second server may still answer.
                heard = _ignore
            heard()
            body = answer.read(self.remaining_ms(), heard)
            self.check_end(attempt, answer)
        except BaseException:
            if answer is not None:
                answer.close()
            raise
        # A successful answer needs the server's signature.
        if answer.status < SUCCESS_END and not answer.signed:
            detail = "a successful answer without the server's signature"
            raise StageError(detail, Code.BAD_ANSWER)
        return answer, body

    def read_second(
        self,
        attempt: ForwardAttempt,
        inputs: tuple[str, ...],
        breaks: list[Callable[[], None]],
        holder: Holder | None,
    ) -> SecondAnswer:
        """Return the whole answer of a second server; see ForwardRun."""
        answer, body = self.exchange(attempt, inputs, breaks.append, _ignore, holder)
        if answer.status >= SERVER_ERROR:
            raise status_error(answer)
        return SecondAnswer(attempt, answer, body, breaks[0])

    def adopt(self, second: SecondAnswer) -> tuple[ForwardAttempt, UpstreamAnswer, bytes]:
        """Return the attempt, the answer and the body of a second server, for the caller."""
        if self.request.holder is not None:
            self.request.holder.set_answer(len(second.data))
        return second.attempt, second.answer, second.data

    def retries_after(self, attempt: ForwardAttempt, answer: UpstreamAnswer) -> bool:
        """Record an error status of a server; return whether the request is retried."""
        try:
            self.failed(attempt, status_error(answer))
        except MountladderError:
            return False
        return True

    def max_silence_ms(self, has_begun: bool) -> float:
        """Return for how long a server may be silent; see ForwardRun."""
        return max(MIN_SILENCE_MS, FIRST_ATTEMPT_FRACTION * self.route.target_ms)


def _ignore() -> None:
    """Ignore that a part of an answer has arrived."""
