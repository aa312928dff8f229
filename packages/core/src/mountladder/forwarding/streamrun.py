# streamrun.py -- Executes a forwarded request with a streamed answer
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Executes a forwarded request with a streamed answer."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from weakref import proxy

from gevent import GreenletExit

from mountladder.code import Code
from mountladder.continuation.continuation import SUCCESS_END, Continuation
from mountladder.errors import MountladderError, RunError, StageError
from mountladder.forwarding.callerteam import CallerTeam
from mountladder.forwarding.eventsequence import EventSequence
from mountladder.forwarding.forwardanswer import ForwardAnswer
from mountladder.forwarding.forwardattempt import ForwardAttempt
from mountladder.forwarding.forwardcontext import ForwardContext
from mountladder.forwarding.forwardrequest import ForwardRequest
from mountladder.forwarding.forwardrun import ForwardRun
from mountladder.forwarding.hedge import Hedge
from mountladder.forwarding.retryrules import SERVER_ERROR, no_retry_error, status_error
from mountladder.forwarding.route import Route
from mountladder.forwarding.secondanswer import SecondAnswer
from mountladder.forwarding.upstreamanswer import UpstreamAnswer
from mountladder.memory.holder import Holder
from mountladder.metrics.metric import Metric
from mountladder.performance.eventpace import EventPace
from mountladder.streams.streamversion import StreamVersion


class StreamRun(ForwardRun):
    """A request whose answer is forwarded event by event.

    Only complete events are forwarded, so that a stream that breaks within an event can be resumed
    after the last complete one.

    Attributes:
        splitter: Splits the answer into events.
        stream_version: The software version at which the stream continues.
        continuation: The copy of its cache, and its continuation from there.
        is_partial: Whether a server has sent only the rest of the stream, after events of another.
        has_open_end: Whether the caller is told no end of the stream but that of its connection.
    """

    def __init__(
        self,
        request: ForwardRequest,
        route: Route,
        caller: CallerTeam | None,
        context: ForwardContext,
    ) -> None:
        super().__init__(request, route, caller, context)
        self.splitter = EventSequence(request.last_event_id)
        self.stream_version = StreamVersion(proxy(self))
        self.continuation = Continuation(proxy(self))
        self.is_partial = bool(request.last_event_id)
        self.has_open_end = False

    @property
    def wants_backup(self) -> bool:
        """Return whether a second server is to keep a copy; see ForwardRun."""
        return self.continuation.wants_copy

    @property
    def version(self) -> str | None:
        """Return the software version that the server must run; see ForwardRun."""
        return self.stream_version.required

    @property
    def is_joinable(self) -> bool:
        """Return whether the last event stands for all that were passed on; see ForwardRun."""
        return self.splitter.is_named

    def answer(self) -> ForwardAnswer:
        """Return the answer once its first event has arrived; see ForwardRun."""
        try:
            if self.request.last_event_id:
                self.stream_version.find()
            attempt, answer, first = self.open(self.splitter)
            if answer.status >= SUCCESS_END:
                return self.buffered_answer(attempt, answer)
        except MountladderError as error:
            self.finish(error)
            raise
        except BaseException:
            self.finish(RunError("", Code.CANCELLED))
            raise
        if self.expected_ms and not self.gives_way:
            self.context.forecast.learn(self.route, self.expected_ms, self.elapsed_ms())
        self.log(
            "first-event",
            server=attempt.server,
            software=attempt.version,
            elapsed_ms=round(self.elapsed_ms()),
        )
        if self.flow is not None:
            # The server has fetched the results. Memory for results runs short under load, and a
            # stream that breaks has its stages rerun.
            self.flow.release()
        body = self.events(attempt, answer, self.splitter, first)
        headers = self.continuation.headers or answer.headers
        self.has_open_end = answer.ends_with_connection
        return ForwardAnswer(answer.status, headers, body, self.has_open_end)

    def buffered_answer(self, attempt: ForwardAttempt, answer: UpstreamAnswer) -> ForwardAnswer:
        """Return an answer that is not a stream, such as an error of the server."""
        try:
            body = answer.read(self.remaining_ms())
            self.check_end(attempt, answer)
        except StageError as error:
            self.record_failure(attempt, error.code)
            self.tracked.failed(
                attempt.choice.state.server, attempt.started, error, self.begun_ms()
            )
            raise RunError(error.detail, error.code) from error
        except BaseException:
            answer.close()
            self.record_failure(attempt, Code.CANCELLED)
            raise
        self.record_failure(attempt, Code.STAGE_FAILED)
        self.finish(status=answer.status)
        return ForwardAnswer(answer.status, answer.headers, body, answer.ends_with_connection)

    def open(self, splitter: EventSequence) -> tuple[ForwardAttempt, UpstreamAnswer, bytes]:
        """Send the request until a server has sent a complete event, or a status of 300 or above.

        Returns:
            The attempt, its answer and the events received so far.
        """
        inputs = self.run_stages()
        while True:
            attempt = self.start_attempt()
            self.continuation.begin(attempt, inputs)
            answer = None
            try:
                self.stream_version.check_start(attempt)
                limit_ms = self.remaining_ms()
                answer = self.call(attempt, inputs, splitter.last_id, limit_ms, self.connected)
                if answer.status >= SERVER_ERROR:
                    second = self.hedge.outcome()
                    if second is not None:
                        answer.close()
                        self.record_failed(attempt, status_error(answer))
                        return self.adopt(second)
                if answer.status >= SUCCESS_END:
                    self.hedge.stop()
                    return attempt, answer, b""
                first, version = self.first_events(attempt, answer, splitter)
                self.heard()
                self.stream_version.settle(attempt, version)
            except StageError as error:
                if answer is not None:
                    answer.close()
                second = self.second_answer(attempt)
                if second is not None:
                    self.superseded(attempt)
                    return self.adopt(second)
                continued = self.continuation.recover(attempt, answer, error)
                if continued is not None:
                    return continued
                if error.code is Code.RESULT_GONE:
                    self.record_missing_results()
                inputs = self.run_stages()
            except BaseException:
                if answer is not None:
                    answer.close()
                self.record_failure(attempt, Code.CANCELLED)
                raise
            else:
                self.succeeded(attempt, answer.load, streaming=True)
                self.context.fetch_time.record_fetched()
                return attempt, answer, first

    def connected(self, break_connection: Callable[[], None]) -> None:
        """Handle the connection to a server being open, given a function that breaks it."""
        self.schedule_release()
        self.continuation.connected(break_connection)
        self.hedge.start(break_connection)

    def read_second(
        self,
        attempt: ForwardAttempt,
        inputs: tuple[str, ...],
        breaks: list[Callable[[], None]],
        holder: Holder | None,
    ) -> SecondAnswer:
        """Return the first events of a second server; see ForwardRun."""
        splitter = EventSequence(self.splitter.last_id)
        answer = None
        try:
            limit_ms, last_id = self.remaining_ms(), splitter.last_id
            answer = self.call(attempt, inputs, last_id, limit_ms, breaks.append, holder=holder)
            if answer.status >= SUCCESS_END:
                raise StageError(f"status {answer.status}", Code.STAGE_FAILED)
            first, version = self.first_events(attempt, answer, splitter)
        except BaseException as error:
            if answer is not None:
                answer.close()
            if isinstance(error, StageError) and error.code is Code.RESULT_GONE:
                self.record_missing_results()
            raise
        return SecondAnswer(attempt, answer, first + bytes(splitter.incomplete), breaks[0], version)

    def adopt(self, second: SecondAnswer) -> tuple[ForwardAttempt, UpstreamAnswer, bytes]:
        """Go on with the answer of a second server, once that of the first one is closed.

        Returns:
            The attempt, its answer and the events received so far.
        """
        self.splitter.discard_incomplete()
        events = self.split(self.splitter, second.data)
        self.stream_version.settle(second.attempt, second.version)
        self.begun_at = None
        self.heard()
        self.hedge = Hedge(proxy(self), second.attempt)
        self.hedge.start(second.break_connection)
        self.succeeded(second.attempt, second.answer.load, streaming=True)
        return second.attempt, second.answer, events

    def schedule_release(self) -> None:
        """Schedule the release of stage results for when the server should have fetched them."""
        if self.flow is not None and self.flow.handles:
            size = self.flow.results.result_bytes()
            wait_ms = self.context.fetch_time.wait_ms(size, self.flow.results.link_mbps())
            self.cancel_release = self.context.clock.call_later(wait_ms, self.flow.release)

    def record_missing_results(self) -> None:
        """Record that a server could not fetch stage results, which are made again."""
        if self.flow is not None and not self.flow.handles:
            self.context.fetch_time.record_early_release()
        elif self.flow is not None:
            self.flow.release()

    def first_events(
        self, attempt: ForwardAttempt, answer: UpstreamAnswer, splitter: EventSequence
    ) -> tuple[bytes, str]:
        """Return the first complete events of an answer, and the version of its server's software.

        There are none in the rest of a stream that broke after its last event.

        Raises:
            StageError: The answer is unsigned, malformed or ended early, or no event came in time.
        """
        if not answer.signed:
            raise StageError("a successful answer without the server's signature", Code.BAD_ANSWER)
        splitter.discard_incomplete()
        while True:
            data = answer.read_some(self.remaining_ms())
            if not data and not self.has_ended(answer, splitter):
                raise StageError("the stream ended before its first event", Code.STREAM_CUT)
            version = self.stream_version.check(attempt)
            self.hedge.check_first(attempt)
            if not data:
                return b"", version
            complete = self.split(splitter, data)
            if complete:
                return complete, version

    def has_ended(self, answer: UpstreamAnswer, splitter: EventSequence) -> bool:
        """Return whether an answer without a further event is the whole rest of a stream.

        One that ends with its connection may have been cut.
        """
        is_rest = bool(splitter.last_id) and not splitter.incomplete.strip()
        return is_rest and not answer.ends_with_connection

    def events(
        self, attempt: ForwardAttempt, answer: UpstreamAnswer, splitter: EventSequence, first: bytes
    ) -> Iterator[bytes]:
        """Yield the events of a stream, resuming it at other servers where that is allowed.

        Raises:
            MountladderError: The stream broke; the caller must see that it is incomplete.
        """
        error: MountladderError | None = RunError("", Code.CANCELLED)
        active: ForwardAttempt | None = attempt
        pace = EventPace(self.context.clock.now(), splitter.events)
        try:
            yield first
            while True:
                try:
                    yield from self.remaining_events(attempt, answer, splitter, pace)
                    break
                except StageError as cut:
                    answer.close()
                    self.context.picker.finished(attempt.picked, pace.mean_ms())
                    active = None
                    self.is_partial = True
                    attempt, answer, first = self.resume(attempt, answer, cut)
                    active = attempt
                    pace = EventPace(self.context.clock.now(), splitter.events)
                    if first:
                        yield first
            error = None
            if not self.is_partial:
                # The rest of a stream shows nothing: its first server may have crashed.
                self.record_answer(attempt, answer)
        except MountladderError as caught:
            error = caught
            raise
        finally:
            answer.close()
            if active is not None:
                self.context.picker.finished(active.picked, pace.mean_ms())
            self.finish(error, status=answer.status)
            # The error keeps this frame.
            del error

    def remaining_events(
        self,
        attempt: ForwardAttempt,
        answer: UpstreamAnswer,
        splitter: EventSequence,
        pace: EventPace,
    ) -> Iterator[bytes]:
        """Yield the remaining events of one server's answer.

        Raises:
            StageError: The stream broke, or a second server has gone on with it.
        """
        while True:
            self.wait_for_server()
            data = answer.read_some(self.remaining_ms())
            self.hedge.check_first(attempt)
            self.heard()
            attempt.choice.state.breaker.heard()
            if not data:
                break
            complete = self.split(splitter, data)
            if complete:
                pace.arrived(self.context.clock.now(), splitter.events)
                yield complete
                pace.passed_on(self.context.clock.now())
        if splitter.incomplete.strip():
            raise StageError("the stream ended within an event", Code.STREAM_CUT)
        self.check_end(attempt, answer)
        if answer.ends_with_connection and not self.has_open_end:
            # The last chunk would tell the caller that the stream is known to be whole.
            raise StageError("the end of the stream is not known", Code.STREAM_CUT)

    def resume(
        self, attempt: ForwardAttempt, answer: UpstreamAnswer, cut: StageError
    ) -> tuple[ForwardAttempt, UpstreamAnswer, bytes]:
        """Resume a broken stream at another server, or continue it where its copy is.

        Raises:
            MountladderError: The stream may not be resumed, or that failed.
        """
        second = self.hedge.outcome()
        if second is not None:
            cut = StageError("another server was heard of first", Code.STAGE_STALLED)
        self.tracked.failed(attempt.choice.state.server, attempt.started, cut, self.begun_ms())
        self.stream_version.exclude_restarted()
        if not self.stream_version.is_alone(attempt.server):
            self.excluded |= {attempt.server}
        self.possible_runs += 1
        problem = None
        if second is None:
            problem = self.stream_version.error() or no_retry_error(self, cut)
        self.log(
            "stream-cut",
            server=attempt.server,
            software=attempt.version,
            code=cut.code.number,
            reason=cut.detail,
            last_event_id=self.splitter.last_id,
            silent_ms=round(self.silent_ms()),
            remaining_ms=round(self.remaining_ms()),
            outcome="not resumed" if problem else "resumed",
        )
        breaker, now = attempt.choice.state.breaker, self.context.clock.now()
        breaker.fail(now, self.heard_at, is_silent=second is not None)
        if problem is not None:
            continued = self.continuation.reopen(answer, cut)
            if continued is not None:
                return continued
            try:
                raise problem from cut
            finally:
                # The error keeps this frame, and those below it.
                del problem
        self.context.metrics.count(Metric.RESUMED)
        if second is not None:
            return self.adopt(second)
        resumed = self.open(self.splitter)
        if resumed[1].status >= SUCCESS_END:
            resumed[1].close()
            self.record_failure(resumed[0], Code.STAGE_FAILED)
            raise RunError(f"status {resumed[1].status} while resuming the stream", Code.STREAM_CUT)
        return resumed

    def run_stages(self) -> tuple[str, ...]:
        """Return the handles of stage results; rerun the stages only if they were released."""
        if self.flow is not None and self.flow.handles:
            return self.flow.inputs()
        return super().run_stages()

    def split(self, splitter: EventSequence, data: bytes) -> bytes:
        """Return the events that the data completes.

        Raises:
            StageError: An event is too long, or its id does not rise.
        """
        try:
            complete = splitter.feed(data)
        except ValueError as error:
            raise StageError(str(error), Code.BAD_ANSWER) from error
        if complete:
            self.continuation.record_events()
        return complete

    def finish(self, error: MountladderError | None = None, status: int = 0) -> None:
        """Record the outcome of the request, and of its copy; see ForwardRun."""
        super().finish(error, status)
        self.continuation.end(self.splitter.events, error is None and status < SUCCESS_END)

    def heard(self) -> None:
        """Record that the server has sent a part of its stream; see ForwardRun."""
        self.is_waiting = False
        if self.begun_at is None:
            self.begun_at = self.context.clock.now()
        if self.flow is not None and self.hedge.task is not None:
            # They were held for a second server, which has them or is cancelled.
            self.flow.release()
        self.hedge.heard()

    def max_silence_ms(self, has_begun: bool) -> float:
        """Return for how long a server may be silent; see ForwardRun."""
        return self.route.max_silence_ms if has_begun else self.route.target_ms

    def send_second(self, hedge: Hedge) -> SecondAnswer:
        """Send the request to a second server; see ForwardRun."""
        try:
            return super().send_second(hedge)
        except GreenletExit:
            # The first server goes on, and has the results of the stages.
            if self.flow is not None and self.has_begun:
                self.flow.release()
            raise
