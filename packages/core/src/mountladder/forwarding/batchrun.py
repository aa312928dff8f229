# batchrun.py -- Sends one batch of pieces to a server and handles its outcome
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Sends one batch of pieces to a server and handles its outcome."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import TYPE_CHECKING

import gevent
from eliot import log_message
from gevent import Greenlet

from mountladder.code import Code
from mountladder.errors import StageError
from mountladder.forwarding.batchlimits import BatchLimits
from mountladder.forwarding.jobprogress import JobProgress
from mountladder.forwarding.piecefailure import PieceFailure
from mountladder.forwarding.piecequeue import QueuedPiece
from mountladder.forwarding.pieceresult import PieceResult
from mountladder.forwarding.serverloss import is_lost
from mountladder.forwarding.stagecallstate import StageCallState
from mountladder.metrics.metric import Metric
from mountladder.performance.worktype import WorkType
from mountladder.quarantine.interruption import Interruption
from mountladder.quarantine.trackedattempt import connection_broke
from mountladder.routing.serverstate import ServerState

if TYPE_CHECKING:
    from mountladder.forwarding.batcher import Batcher

# A call that takes longer than this multiple of its expected time plus a margin is hedged: its
# pieces go to another server too, and the first result counts. A slow server is 4 to 5 times slower
# and continues with a call that its caller has abandoned.
HEDGE_FACTOR = 1.6
HEDGE_MARGIN_MS = 100.0
# A server that has not answered a call after this multiple of its expected time plus a margin is
# taken to be out of use. It may only be silent for a moment: the call is kept while its pieces have
# no other result, and their requests have time.
SILENCE_FACTOR = 5.0
SILENCE_MARGIN_MS = 250.0
# Interval between checks whether a kept call is still needed.
RECHECK_MS = 500.0
# Maximum number of times that a piece is sent; the retry budget of the service is usually spent
# before.
MAX_ATTEMPTS = 4
# Pause after a server refused a call because it is full: about a third of a call.
FULL_PAUSE_MS = 60.0
# Pause after a server had no memory left for results; releases free some within about this time.
NO_ROOM_PAUSE_MS = 80.0


class BatchRun:
    """Sends a batch of pieces to a server, and settles or requeues each of them.

    Args:
        batcher: The batcher of the pieces.
        state: The server.
        batch: The pieces.
        limits: The server's batch limits.
        now: The clock's time.

    Attributes:
        task: Makes the call, or None before it.
        cancel_check: Cancels the next check of a call that is late.
        is_kept: Whether the call was kept although its server was silent for long.
        ended: Whether the call has ended.
    """

    def __init__(
        self,
        batcher: Batcher,
        state: ServerState,
        batch: list[QueuedPiece],
        limits: BatchLimits,
        now: float,
    ) -> None:
        self.batcher = batcher
        self.state = state
        self.batch = batch
        self.limits = limits
        requested_bytes = sum(progress.job.result_bytes for progress, _ in batch)
        self.free_bytes = (
            limits.result_memory_bytes
            - batcher.result_memory.used_bytes(state.server.name, now)
            - requested_bytes
        )
        expected_ms = limits.expected_ms(len(batch)) * state.time_factor(now)
        self.call = StageCallState(now, expected_ms, len(batch))
        self.task: Greenlet | None = None
        self.cancel_check: Callable[[], None] = lambda: None
        self.is_kept = False
        self.ended = False

    def run(self) -> None:
        """Make the call, then settle or requeue its pieces."""
        pieces = [progress.job.piece(fragment) for progress, fragment in self.batch]
        for progress, fragment in self.batch:
            progress.attempts[fragment] += 1
        self.task = gevent.getcurrent()
        clock = self.batcher.clock
        limit_ms = max(progress.job.deadline for progress, _ in self.batch) - clock.now()
        silence_ms = SILENCE_FACTOR * self.call.expected_ms + SILENCE_MARGIN_MS
        hedge_after_ms = HEDGE_FACTOR * self.call.expected_ms + HEDGE_MARGIN_MS
        cancel_hedge = clock.call_later(hedge_after_ms, self.hedge)
        self.check_later(silence_ms)
        try:
            results = self.batcher.upstream.run_pieces(
                self.state.server, pieces, limit_ms, self.batcher.notices.dispatch
            )
        except StageError as error:
            self.failed(error)
        else:
            self.succeeded(results)
        finally:
            cancel_hedge()
            self.cancel_check()
            self.ended = True
            self.batcher.servers.end(self.state, self.call, clock.now())
            self.batcher.pump()

    def check_later(self, delay_ms: float) -> None:
        """Check after a delay in milliseconds whether the call is to be kept."""
        check = lambda: gevent.spawn(self.check_silence)  # noqa: E731
        self.cancel_check = self.batcher.clock.call_later(delay_ms, check)

    def check_silence(self) -> None:
        """Keep the call of a silent server while its pieces have no other result.

        The pieces are also sent to another server where that is allowed.
        """
        if self.ended:
            return
        if not self.is_kept:
            self.is_kept = True
            self.record_silence()
        unsettled = [one for one in self.batch if not one[0].is_settled(one[1])]
        requeued = [one for one in unsettled if self.may_repeat(one)]
        silent_ms = self.batcher.clock.now() - self.call.started
        log_message(
            "pieces-kept",
            service=self.batcher.service,
            server=self.state.server.name,
            pieces=len(self.batch),
            unsettled=len(unsettled),
            requeued=len(requeued),
            silent_ms=round(silent_ms),
            requests=sorted({progress.job.request for progress, _ in unsettled}),
        )
        for waiting in requeued:
            self.batcher.metrics.count(Metric.RETRIED, Code.STAGE_STALLED.name.lower())
            self.batcher.hedged.add(waiting)
            self.batcher.queue.requeue(waiting)
        self.batcher.pump()
        if not unsettled:
            self.end("no answer in time")
        elif is_lost(self.batcher.upstream, self.state.server, silent_ms):
            self.end("the server is silent and cannot be reached")
        elif not self.ended:
            self.check_later(RECHECK_MS)

    def end(self, reason: str) -> None:
        """End a call that is not kept any longer."""
        if not self.ended:
            self.task.kill(StageError(reason, Code.STAGE_STALLED), block=False)

    def may_repeat(self, waiting: QueuedPiece) -> bool:
        """Return whether an unsettled piece is sent again; if so, take that out of the budget."""
        progress, fragment = waiting
        if waiting in self.batcher.hedged or progress.attempts[fragment] >= MAX_ATTEMPTS:
            return False
        has_time = progress.job.deadline > self.batcher.clock.now()
        return has_time and self.batcher.budget.spend()

    def record_silence(self) -> None:
        """Update the state of a server that has not answered for long."""
        self.batcher.upstream.record_unanswered(self.call.started)
        self.trip(Code.STAGE_STALLED)

    def trip(self, code: Code) -> None:
        """Take the server out of use, unless it has answered another call since this one.

        Args:
            code: How the call failed.
        """
        if self.batcher.servers.has_answered_since(self.state, self.call):
            # Only this answer was lost.
            self.state.breaker.abandon()
        elif code is Code.CONNECT_FAILED:
            self.batcher.servers.router.record_unreachable(self.state, self.call.started)
        else:
            now = self.batcher.clock.now()
            is_silent = code is Code.STAGE_STALLED
            self.state.breaker.trip(now, self.call.started, is_silent)

    def hedge(self) -> None:
        """Requeue the unsettled pieces of an overdue call, so that another server runs them too."""
        now = self.batcher.clock.now()
        ratio = (now - self.call.started) / self.limits.expected_ms(len(self.batch))
        speeds = self.batcher.servers.router.speeds
        self.batcher.servers.mark_overdue(self.state, self.call)
        if self.batcher.servers.find_silence(self.state, self.call, now):
            self.batcher.rate.restart()
        elif speeds is not None:
            speeds.record_overdue(self.state.server, WorkType.CALL, ratio)
        requeued = [
            one
            for one in self.batch
            if not one[0].is_settled(one[1]) and self.batcher.budget.spend()
        ]
        log_message(
            "pieces-late",
            service=self.batcher.service,
            server=self.state.server.name,
            pieces=len(self.batch),
            requeued=len(requeued),
            elapsed_ms=round(now - self.call.started),
            expected_ms=round(self.call.expected_ms),
            requests=sorted({progress.job.request for progress, _ in self.batch}),
        )
        for waiting in requeued:
            self.batcher.hedged.add(waiting)
            self.batcher.queue.requeue(waiting)
        self.batcher.pump()

    def succeeded(self, results: Sequence[PieceResult]) -> None:
        """Handle the results of a call that was answered."""
        now = self.batcher.clock.now()
        elapsed_ms = now - self.call.started
        self.state.breaker.succeed()
        self.batcher.servers.answered(self.state, now)
        if not self.is_kept:
            # The time of a silence says nothing about the server's speed.
            self.learn_time(elapsed_ms / self.limits.expected_ms(len(self.batch)), now)
        self.batcher.rate.add(len(self.batch))
        self.batcher.metrics.count(Metric.STAGE_CALLS)
        self.batcher.metrics.count(Metric.STAGE_PIECES, number=len(self.batch))
        self.batcher.metrics.timing(Metric.STAGE_CALL_MS, elapsed_ms)
        failed = [one.failure.value for one in results if one.failure is not None]
        log_message(
            "pieces-made",
            service=self.batcher.service,
            server=self.state.server.name,
            pieces=len(self.batch),
            waiting=len(self.batcher.queue),
            elapsed_ms=round(elapsed_ms),
            slowness=round(self.state.slowness, 2),
            factor=round(self.state.pace.factor, 2),
            spell=round(self.state.pace.spell_at(now), 2),
            result_bytes_used=round(
                self.batcher.result_memory.used_bytes(self.state.server.name, now)
            ),
            failed=failed,
            requests=sorted({progress.job.request for progress, _ in self.batch}),
        )
        if PieceFailure.NO_ROOM.value in failed:
            self.batcher.servers.pause(self.state, now + NO_ROOM_PAUSE_MS)
        for progress, fragment in self.batch:
            progress.copies[fragment] -= 1
        for waiting, result in zip(self.batch, results, strict=True):
            self.handle_result(waiting, result, now)
        self.batcher.inputs.call_answered(self, results)

    def learn_time(self, ratio: float, now: float) -> None:
        """Update the server's slowness and speed from the ratio of actual to usual time."""
        own_ratio = ratio / self.state.pace.factor
        tells_speed = self.state.record_time_ratio(own_ratio, now, self.call.started)
        speeds = self.batcher.servers.router.speeds
        if speeds is None:
            return
        if tells_speed:
            speeds.record(self.state.server, WorkType.CALL, ratio)
        elif not self.batcher.servers.was_silenced(self.call):
            speeds.record_overdue(self.state.server, WorkType.CALL, ratio)

    def handle_result(self, waiting: QueuedPiece, result: PieceResult, now: float) -> None:
        """Settle or requeue a piece by its result."""
        progress, fragment = waiting
        if result.failure is None:
            self.batcher.hedged.discard(waiting)
        size, server = progress.job.result_bytes, self.state.server.name
        if result.failure is not None:
            self.batcher.result_memory.unreserve(server, size)
        else:
            self.batcher.result_memory.record_result(
                result.handle, server, size, now + self.limits.result_ttl_ms
            )
            self.batcher.releaser.released.forget(result.handle)
        if result.failure is PieceFailure.NO_ROOM:
            # The server did not run the piece, so this counts as no retry. Result sizes are
            # approximate: a call that was to fill the memory may exceed it by about one result.
            if self.free_bytes > size:
                self.batcher.result_memory.record_full(
                    server, self.free_bytes, now, self.limits.result_ttl_ms
                )
            self.batcher.queue.requeue(waiting)
        elif result.failure is PieceFailure.FAILED:
            self.repeat(progress, fragment, result)
        elif progress.is_settled(fragment):
            self.batcher.release([result.handle])
        elif result.failure is PieceFailure.INPUT_GONE:
            self.input_gone(progress, fragment, result)
        else:
            progress.settle(fragment, replace(result, datacentre=self.state.server.datacentre))
            self.batcher.quarantine.record_answer(progress.job.fingerprint)

    def input_gone(self, progress: JobProgress, fragment: int, result: PieceResult) -> None:
        """Fail the stage of a piece with a missing input, unless another copy of it runs."""
        if self.batcher.reserves_results() and progress.copies[fragment] > 0:
            # That copy has fetched its inputs, or finds them missing as well.
            self.batcher.hedged.discard((progress, fragment))
            self.batcher.inputs.copy_without_input(progress, fragment)
        else:
            self.batcher.inputs.input_missing(progress, fragment)
            progress.settle(fragment, result)

    def failed(self, error: StageError) -> None:
        """Handle a call without an answer: update the server's state and requeue the pieces."""
        now = self.batcher.clock.now()
        if error.code in {Code.SERVER_FULL, Code.SERVER_REFUSED}:
            self.batcher.servers.pause(self.state, now + self.full_pause_ms())
            self.state.breaker.abandon()
        elif error.code is Code.SERVER_REPLACED:
            self.state.mark_leaving(now)
            self.state.breaker.abandon()
        else:
            self.trip(error.code)
        log_message(
            "pieces-failed",
            service=self.batcher.service,
            server=self.state.server.name,
            pieces=len(self.batch),
            code=error.code.number,
            reason=error.detail,
            elapsed_ms=round(now - self.call.started),
            requests=sorted({progress.job.request for progress, _ in self.batch}),
        )
        self.batcher.metrics.count(Metric.RETRIED, error.code.name.lower())
        self.report_interruptions(error)
        for progress, fragment in self.batch:
            size, server = progress.job.result_bytes, self.state.server.name
            progress.copies[fragment] -= 1
            self.batcher.result_memory.unreserve(server, size)
            if error.dispatched:
                self.batcher.result_memory.record_lost(
                    server, size, now + self.limits.result_ttl_ms
                )
                is_late = progress.job.deadline <= now
                failure = PieceFailure.LATE if is_late else PieceFailure.FAILED
                self.repeat(progress, fragment, PieceResult("", failure))
            else:
                # No server has begun the piece, so this counts as no retry.
                progress.attempts[fragment] -= 1
                self.batcher.queue.requeue((progress, fragment))

    def full_pause_ms(self) -> float:
        """Return how long the server is left alone after it refused a call as full."""
        rooms = self.batcher.servers.rate_limits.rooms
        return max(FULL_PAUSE_MS, rooms.pause_ms(self.state.server))

    def report_interruptions(self, error: StageError) -> None:
        """Report the pieces of a broken call to the check for a crash of the server."""
        if not connection_broke(error):
            return
        now = self.batcher.clock.now()
        ran_ms = now - self.call.started
        jobs = {progress.job.fingerprint: progress.job for progress, _ in self.batch}
        interruptions = [
            Interruption(job.fingerprint, job.request, ran_ms, now, alone=len(jobs) == 1)
            for job in jobs.values()
            if job.fingerprint
        ]
        self.batcher.detector.investigate(self.state.server, interruptions)

    def repeat(self, progress: JobProgress, fragment: int, result: PieceResult) -> None:
        """Requeue a piece, or settle it as failed if it can have no other result.

        That is so if no attempt or retry budget is left, and no other call has it.
        """
        if progress.is_settled(fragment):
            return
        # A copy that still runs may wait for its turn, and has not fetched its inputs then.
        progress.fetched.discard(fragment)
        if (progress, fragment) in self.batcher.hedged:
            # Its other copy is still queued or running; only a failure of that one is retried.
            self.batcher.hedged.discard((progress, fragment))
            return
        if self.may_repeat((progress, fragment)):
            self.batcher.queue.requeue((progress, fragment))
        elif not self.has_copy(progress, fragment):
            progress.settle(fragment, result)

    def has_copy(self, progress: JobProgress, fragment: int) -> bool:
        """Return whether another call has a piece, or it waits for one."""
        return progress.copies[fragment] > 0 or (progress, fragment) in self.batcher.queue.waiting
