# streamrun.py -- A forwarded request with a streamed answer
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A forwarded request with a streamed answer."""

from __future__ import annotations

from collections.abc import Iterator

from mountladder.code import Code
from mountladder.errors import MountladderError, RunError, StageError
from mountladder.forwarding.eventsplitter import EventSplitter
from mountladder.forwarding.forwardanswer import ForwardAnswer
from mountladder.forwarding.forwardattempt import ForwardAttempt
from mountladder.forwarding.forwardrun import ForwardRun
from mountladder.forwarding.repeats import why_not_again
from mountladder.forwarding.upstreamanswer import UpstreamAnswer
from mountladder.metrics.metric import Metric

SUCCESS = 300
# A stream that may go on elsewhere is moved when its first event is this many aims late, or when
# a pause is this many times the longest that is on time; before, a slow server may still be right.
FIRST_EVENT_AIMS = 1.0
GAPS = 5.0
LEAST_GAP_MS = 1_000.0


class StreamRun(ForwardRun):
    """A request whose answer is passed on event by event.

    Only whole events are passed on, so that a stream that is cut within one can go on behind the
    last whole one.
    """

    def answer(self) -> ForwardAnswer:
        """Return the answer once its first event is there; see ForwardRun."""
        splitter = EventSplitter(self.request.after_event)
        try:
            attempt, answer, first = self.open(splitter)
            if answer.status >= SUCCESS:
                return self.whole(attempt, answer)
        except MountladderError as error:
            self.finish(error)
            raise
        except BaseException:
            self.finish(RunError("", Code.CANCELLED))
            raise
        if self.expected_ms and not self.gives_way:
            self.context.forecast.learn(self.route, self.expected_ms, self.elapsed())
        self.log("first-event", server=attempt.server, elapsed_ms=round(self.elapsed()))
        if self.flow is not None:
            # The server has fetched them. Room for results binds in bursts, and a stream that is
            # cut has them made again.
            self.flow.release()
        body = self.events(attempt, answer, splitter, first)
        return ForwardAnswer(answer.status, answer.headers, body)

    def whole(self, attempt: ForwardAttempt, answer: UpstreamAnswer) -> ForwardAnswer:
        """Return an answer that is no stream, such as the server's own failure."""
        try:
            body = answer.read(self.left())
        except StageError as error:
            self.learn_failure(attempt, error.code)
            self.case.failed(attempt.choice.state.server, attempt.started, error)
            raise RunError(error.detail, error.code) from error
        self.learn_failure(attempt, Code.STAGE_FAILED)
        self.finish(status=answer.status)
        return ForwardAnswer(answer.status, answer.headers, body)

    def open(self, splitter: EventSplitter) -> tuple[ForwardAttempt, UpstreamAnswer, bytes]:
        """Send the request until a server has sent its first whole event.

        Returns:
            The attempt, its answer, and the events so far.
        """
        inputs = self.make_inputs()
        while True:
            attempt = self.begin()
            answer = None
            try:
                answer = self.call(
                    attempt, inputs, splitter.last_id, self.first_ms(attempt), self.release_soon
                )
                if answer.status >= SUCCESS:
                    return attempt, answer, b""
                first = self.first_events(attempt, answer, splitter)
            except StageError as error:
                if answer is not None:
                    answer.close()
                self.cancel_release()
                self.failed(attempt, error)
                if error.code is Code.RESULT_GONE:
                    self.learn_gone()
                inputs = self.make_inputs()
            except BaseException:
                if answer is not None:
                    answer.close()
                self.learn_failure(attempt, Code.CANCELLED)
                raise
            else:
                self.succeeded(attempt, answer.load, goes_on=True)
                self.context.fetch_time.record_fetched()
                return attempt, answer, first

    def release_soon(self) -> None:
        """Give up the results of stages once the server that was reached has fetched them."""
        if self.flow is not None and self.flow.handles:
            size = self.flow.result_bytes()
            wait_ms = self.context.fetch_time.wait_ms(size, self.flow.link_mbps())
            self.cancel_release = self.context.clock.call_later(wait_ms, self.flow.release)

    def learn_gone(self) -> None:
        """Learn from results that a server could not fetch; they are made again."""
        if self.flow is not None and not self.flow.handles:
            self.context.fetch_time.record_early_release()
        elif self.flow is not None:
            self.flow.release()

    def first_events(
        self, attempt: ForwardAttempt, answer: UpstreamAnswer, splitter: EventSplitter
    ) -> bytes:
        """Return the first whole events of an answer.

        Raises:
            StageError: The answer is no stream of events, or none came in time.
        """
        if not answer.signed:
            raise StageError("a success without a signature", Code.BAD_ANSWER)
        splitter.rest = b""
        while True:
            data = answer.read_some(self.first_ms(attempt))
            if not data:
                raise StageError("the stream ended before its first event", Code.STREAM_CUT)
            whole = self.split(splitter, data)
            if whole:
                return whole

    def events(
        self,
        attempt: ForwardAttempt,
        answer: UpstreamAnswer,
        splitter: EventSplitter,
        first: bytes,
    ) -> Iterator[bytes]:
        """Yield the events of a stream, going on at other servers where that is allowed.

        Raises:
            MountladderError: The stream is cut, and the caller must see that it is not whole.
        """
        error: MountladderError | None = RunError("", Code.CANCELLED)
        held: ForwardAttempt | None = attempt
        try:
            yield first
            while True:
                try:
                    yield from self.rest(answer, splitter)
                    break
                except StageError as cut:
                    answer.close()
                    self.context.picker.finished(attempt.picked)
                    held = None
                    attempt, answer, first = self.resume(attempt, cut, splitter)
                    held = attempt
                    yield first
            error = None
            self.case.answered()
        except MountladderError as caught:
            error = caught
            raise
        finally:
            answer.close()
            if held is not None:
                self.context.picker.finished(held.picked)
            self.finish(error, status=answer.status)

    def rest(self, answer: UpstreamAnswer, splitter: EventSplitter) -> Iterator[bytes]:
        """Yield the events of one server's answer up to its end.

        Raises:
            StageError: It broke off, or a pause was too long.
        """
        while True:
            data = answer.read_some(self.gap_ms())
            if not data:
                break
            whole = self.split(splitter, data)
            if whole:
                yield whole
        if splitter.rest.strip():
            raise StageError("the stream ended within an event", Code.STREAM_CUT)

    def resume(
        self, attempt: ForwardAttempt, cut: StageError, splitter: EventSplitter
    ) -> tuple[ForwardAttempt, UpstreamAnswer, bytes]:
        """Go on with a cut stream at another server.

        Raises:
            MountladderError: It may not go on.
        """
        self.case.failed(attempt.choice.state.server, attempt.started, cut)
        self.excluded |= {attempt.server}
        self.runs += 1
        problem = why_not_again(self, cut)
        self.log(
            "stream-cut",
            server=attempt.server,
            code=cut.code.number,
            reason=cut.detail,
            after_event=splitter.last_id,
            outcome="gives up" if problem else "goes on elsewhere",
        )
        attempt.choice.state.breaker.fail(self.context.clock.now())
        if problem is not None:
            raise problem from cut
        self.context.metrics.count(Metric.RESUMED)
        found = self.open(splitter)
        if found[1].status >= SUCCESS:
            found[1].close()
            self.learn_failure(found[0], Code.STAGE_FAILED)
            raise RunError(f"status {found[1].status} on going on", Code.STREAM_CUT)
        return found

    def make_inputs(self) -> tuple[str, ...]:
        """Return the handles that the request needs, made again only where they are gone."""
        if self.flow is not None and self.flow.handles:
            return self.flow.inputs()
        return super().make_inputs()

    def split(self, splitter: EventSplitter, data: bytes) -> bytes:
        """Return the events that are whole now."""
        try:
            return splitter.feed(data)
        except ValueError as error:
            raise StageError(str(error), Code.BAD_ANSWER) from error

    def first_ms(self, attempt: ForwardAttempt) -> float:
        """Return how long the first event is waited for."""
        if not self.route.resumable or self.sendings >= self.route.most_attempts:
            return self.left()
        waited = self.context.clock.now() - attempt.started
        return min(self.left(), max(1.0, FIRST_EVENT_AIMS * self.route.aim_ms - waited))

    def gap_ms(self) -> float:
        """Return how long the next event is waited for."""
        if not self.route.resumable or self.runs + 1 >= self.route.most_attempts:
            return self.left()
        return min(self.left(), max(LEAST_GAP_MS, GAPS * self.route.gap_ms))

    def learn_failure(self, attempt: ForwardAttempt, code: Code) -> None:
        """Learn from an attempt that is not repeated."""
        elapsed_ms = self.context.clock.now() - attempt.started
        self.context.picker.failed(attempt.picked, self.request, self.service, code, elapsed_ms)
