# continuation.py -- The continuation of one stream at the server that has its copy
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The continuation of one stream at the server that has its copy."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from mountladder.code import Code
from mountladder.configuration.backendserver import BackendServer
from mountladder.configuration.softwareversion import version_of
from mountladder.continuation.serverwatch import ServerWatch
from mountladder.errors import MountladderError, RefusalError, StageError
from mountladder.forwarding.forwardattempt import ForwardAttempt
from mountladder.forwarding.forwardrequest import Headers
from mountladder.forwarding.pickedserver import PickedServer
from mountladder.forwarding.retryrules import MIN_REMAINING_MS
from mountladder.forwarding.upstreamanswer import UpstreamAnswer
from mountladder.metrics.metric import Metric
from mountladder.routing.choice import Choice

if TYPE_CHECKING:
    from mountladder.forwarding.streamrun import StreamRun

# The lowest HTTP status that is no success.
SUCCESS_END = 300


class Continuation:
    """The copy of one stream's cache, and the continuation of the stream from it.

    A continuation is the same run: what the first server had generated is not generated again. It
    is sent only to the server that has the copy, and only after the connection to the first server
    was closed, which ends the run there.

    Args:
        run: The execution of the request.

    Attributes:
        streams: The streams of this instance that can continue.
        decision: Whether the stream is to get a copy, or None if none is possible or needed.
        server: The server that runs the stream.
        copy: The server that may have a copy, or None.
        inputs: The handles of the stage results that the first server was sent. A continuation
            names them again, released or not, since model servers refuse requests without them.
        used: Whether the stream was continued, which is done once.
        is_admitted: Whether the retry budget has allowed the continuation.
        headers: The headers of the first server's answer, or None if there was none.
        watch: Watches the first server if another one may have a copy, otherwise None.
        first_event_at: When the first event arrived, in the clock's milliseconds.
        last_event_at: When the last event arrived, or the request was sent.
    """

    def __init__(self, run: StreamRun) -> None:
        self.run = run
        self.context = run.context
        self.clock = run.context.clock
        self.streams = run.context.continuations
        self.decision = self.streams.decide(run.request, run.route, run.service)
        self.server: BackendServer | None = None
        self.copy: BackendServer | None = None
        self.inputs: tuple[str, ...] = ()
        self.used = False
        self.is_admitted = False
        self.headers: Headers | None = None
        self.watch: ServerWatch | None = None
        self.first_event_at: float | None = None
        self.last_event_at = 0.0

    @property
    def wants_copy(self) -> bool:
        """Return whether a second server is to keep a copy."""
        return self.decision is not None and self.decision.wanted

    def begin(self, attempt: ForwardAttempt, inputs: tuple[str, ...]) -> None:
        """Record that the request is sent to its first server, with some stage results."""
        self.server, self.inputs = attempt.choice.state.server, inputs
        self.copy = attempt.picked.backup
        self.last_event_at = self.clock.now()
        if self.decision is None:
            return
        self.watch = None
        if self.copy is not None:
            route = self.run.route
            self.watch = ServerWatch(self.server, self.admit, route, self.streams, self.clock)
            self.context.metrics.count(Metric.COPIES)
            self.context.metrics.count(Metric.COPIED_BYTES, number=round(self.decision.size))
        self.run.log(
            "copy-decided",
            server=self.server.name,
            backup=self.copy.name if self.copy else "",
            tokens=self.decision.tokens,
            bytes=round(self.decision.size),
            at_risk_ms=round(self.decision.at_risk_ms),
            bytes_per_s=round(self.decision.bytes_per_s),
            max_bytes_per_s=round(self.decision.max_bytes_per_s),
            samples=self.decision.samples,
            outcome=self.outcome(),
        )

    def outcome(self) -> str:
        """Return whether the stream gets a copy, for the log."""
        if not self.wants_copy:
            return "not worth its bytes"
        return "copied" if self.copy is not None else "no server has room"

    def connected(self, break_connection: Callable[[], None]) -> None:
        """Start to watch the first server, given a function that breaks the connection to it."""
        if self.watch is not None and not self.used:
            self.watch.start(break_connection)

    def record_events(self) -> None:
        """Record that whole events arrived."""
        if self.decision is None:
            return
        self.last_event_at = self.clock.now()
        if self.first_event_at is None:
            self.first_event_at = self.last_event_at
        if self.watch is not None:
            self.watch.last_event_at = self.last_event_at

    def stop_watching(self) -> None:
        """Stop watching the first server."""
        if self.watch is not None:
            self.watch.stop()

    def recover(
        self, attempt: ForwardAttempt, answer: UpstreamAnswer | None, error: StageError
    ) -> tuple[ForwardAttempt, UpstreamAnswer, bytes] | None:
        """Return the continuation of an attempt that failed before its first event.

        Returns:
            None if the request is to be sent again; otherwise see reopen.

        Raises:
            MountladderError: The request is not sent again, and cannot continue.
        """
        self.stop_watching()
        if answer is not None:
            answer.close()
        self.run.cancel_release()
        try:
            self.run.failed(attempt, error)
        except MountladderError:
            continued = self.reopen(answer, error)
            if continued is None:
                raise
            return continued
        # The server did not run the request, so that there is no copy to free.
        self.copy = None
        return None

    def reopen(
        self, answer: UpstreamAnswer | None, cut: StageError
    ) -> tuple[ForwardAttempt, UpstreamAnswer, bytes] | None:
        """Continue a broken stream at the server that has the copy.

        Args:
            answer: The answer of the first server, or None if there was none.
            cut: How the stream broke.

        Returns:
            The attempt, its answer and the events received so far, or None if the stream cannot
            continue.
        """
        self.stop_watching()
        if answer is not None:
            # The first server works on the request until its connection is closed, and two servers
            # must not work on it at the same time.
            answer.close()
            self.headers = answer.headers
        if not cut.dispatched:
            # The first server did not run the request, so that there is nothing to continue.
            self.copy = None
            return None
        obstacle = self.cut_obstacle(cut)
        if obstacle:
            self.record_failure(obstacle, cut)
            return None
        self.used = True
        return self.send(self.start_attempt(cut))

    def admit(self, reason: str) -> bool:
        """Return whether a stream whose server seems to be lost may continue elsewhere.

        If so, this counts the continuation against the service's retry budget.

        Args:
            reason: Why the server seems to be lost.
        """
        obstacle = self.obstacle() or self.spend()
        if obstacle:
            self.run.log(
                "stream-left",
                server=self.server.name,
                backup=self.copy.name if self.copy else "",
                reason=reason,
                silent_ms=round(self.clock.now() - self.last_event_at),
                remaining_ms=round(self.run.remaining_ms()),
                outcome=obstacle,
            )
        return not obstacle

    def cut_obstacle(self, cut: StageError) -> str:
        """Return why a broken stream cannot continue, or an empty string if it can.

        This counts the continuation against the service's retry budget, unless that was done when
        the connection was broken from here.
        """
        if cut.code is not Code.STREAM_CUT:
            return "its answer was not cut off"
        obstacle = self.obstacle()
        if obstacle:
            return obstacle
        if not self.run.stream_version.is_verified():
            return "the server that began it was not known"
        if not self.context.starts.may_continue_at(self.copy):
            return "the server of the copy may have started again at another version"
        try:
            self.run.tracked.admit(self.run.remaining_ms())
        except RefusalError as error:
            return f"the request is barred: {error.detail}"
        return self.spend()

    def obstacle(self) -> str:
        """Return why a stream cannot continue, or an empty string if the retry budget decides."""
        run = self.run
        if self.copy is None:
            return "it has no copy"
        if self.first_event_at is None:
            # A copy is sent with the events. Without one the request might run a second time, and
            # one that crashes its server as it begins would crash the other one too.
            return "it has sent no event"
        if not run.is_joinable:
            return "its last event has no number"
        if self.used:
            return "it was continued before"
        if not self.streams.enabled():
            return "the settings do not allow it"
        if run.remaining_ms() < MIN_REMAINING_MS:
            return "there is not enough time left"
        if self.streams.directory.current_version(self.copy) != run.version:
            return "the server of the copy runs another version"
        if not self.streams.is_available(self.copy):
            return "the server of the copy is not available"
        try:
            run.tracked.check(())
        except RefusalError as error:
            return f"the request is barred: {error.detail}"
        return ""

    def spend(self) -> str:
        """Take the continuation out of the retry budget once; return why not, or ""."""
        if not self.is_admitted:
            self.is_admitted = self.context.budgets.spend(self.run.service, self.run.request.id)
        return "" if self.is_admitted else "the retry budget is spent"

    def start_attempt(self, cut: StageError) -> ForwardAttempt:
        """Return the attempt at the server that has the copy."""
        run, now = self.run, self.clock.now()
        state = self.streams.router.state(self.copy)
        state.begin(now)
        run.attempts += 1
        choice = Choice(state, 0.0, 0.0, state.load_factor(now), 1, 1)
        run.log(
            "stream-continuing",
            server=self.server.name,
            software=version_of(self.server),
            backup=self.copy.name,
            backup_software=version_of(self.copy),
            attempt=run.attempts,
            reason=self.reason(cut),
            last_event_id=run.splitter.last_id,
            silent_ms=round(now - self.last_event_at),
        )
        return ForwardAttempt(PickedServer(choice), now, run.attempts)

    def send(self, attempt: ForwardAttempt) -> tuple[ForwardAttempt, UpstreamAnswer, bytes] | None:
        """Send the request to the server that has the copy; see reopen."""
        run, splitter, answer = self.run, self.run.splitter, None
        handle = f"{self.copy.address}/{run.request.id}"
        try:
            limit_ms = run.remaining_ms()
            answer = run.call(attempt, self.inputs, splitter.last_id, limit_ms, copy=handle)
            if answer.status >= SUCCESS_END or not answer.signed:
                raise StageError(f"status {answer.status}, or unsigned", Code.STREAM_CUT)
            splitter.discard_incomplete()
            # A stream that broke after its last event ends without a further one.
            first = b""
            if not splitter.events:
                first, version = run.first_events(attempt, answer, splitter)
                run.stream_version.settle(attempt, version)
        except StageError as error:
            self.close_failed(attempt, answer, error.code)
            if not error.dispatched:
                self.copy = None
            run.tracked.failed(attempt.choice.state.server, attempt.started, error)
            self.record_failure(f"{attempt.server}: {error.detail}", error)
            return None
        except BaseException:
            self.close_failed(attempt, answer, Code.CANCELLED)
            raise
        attempt.choice.state.breaker.succeed()
        # From here on, the log names the second server, and why that one fails.
        self.server, self.watch = self.copy, None
        self.context.metrics.count(Metric.CONTINUED)
        return attempt, answer, first

    def close_failed(
        self, attempt: ForwardAttempt, answer: UpstreamAnswer | None, code: Code
    ) -> None:
        """Close the answer of a continuation that failed, and record the failure."""
        if answer is not None:
            answer.close()
        state, now = attempt.choice.state, self.clock.now()
        state.end(now)
        if code is Code.CONNECT_FAILED:
            self.context.picker.router.record_unreachable(state)
        elif code in {Code.SERVER_FULL, Code.CANCELLED}:
            # A server without a copy refuses, which says nothing about its health.
            state.breaker.abandon()
        else:
            state.breaker.fail(now)

    def reason(self, cut: StageError) -> str:
        """Return why the stream broke, for the log."""
        return (self.watch.reason if self.watch is not None else "") or cut.detail

    def record_failure(self, obstacle: str, cause: StageError) -> None:
        """Count and log that a stream that could have had a copy cannot continue."""
        if self.decision is None:
            return
        self.context.metrics.count(Metric.NOT_CONTINUED)
        self.run.log(
            "stream-not-continued",
            server=self.server.name if self.server else "",
            backup=self.copy.name if self.copy else "",
            reason=self.reason(cause),
            outcome=obstacle,
        )

    def end(self, events: int, succeeded: bool) -> None:
        """Learn from a stream that ended, or free its copy if it did not end successfully.

        Args:
            events: The number of its events.
            succeeded: Whether it was answered completely.
        """
        self.stop_watching()
        undisturbed = succeeded and self.decision is not None and not self.used
        if undisturbed and self.first_event_at is not None:
            elapsed_ms = self.last_event_at - self.first_event_at
            pace = self.streams.paces[self.run.route.name]
            pace.learn(self.run.request.prompt.max_output, events, elapsed_ms)
        elif not succeeded and self.copy is not None:
            self.streams.free(self.copy, self.run.request.id)
