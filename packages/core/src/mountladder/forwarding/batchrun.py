# batchrun.py -- A batch of pieces at a server
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A batch of pieces at a server."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace
from typing import TYPE_CHECKING

from eliot import log_message

from mountladder.code import Code
from mountladder.errors import StageError
from mountladder.forwarding.batchlimits import BatchLimits
from mountladder.forwarding.jobprogress import JobProgress
from mountladder.forwarding.piecefailure import PieceFailure
from mountladder.forwarding.piecequeue import Waiting
from mountladder.forwarding.pieceresult import PieceResult
from mountladder.forwarding.stagecallstate import StageCallState
from mountladder.metrics.metric import Metric
from mountladder.quarantine.case import broke
from mountladder.quarantine.interruption import Interruption
from mountladder.routing.serverstate import ServerState

if TYPE_CHECKING:
    from mountladder.forwarding.batcher import Batcher

# Pieces of a call that takes this many times its expected time and a little are sent to another
# server as well; the first result counts. A server that is slow is 4 to 5 times slower (the users'
# list of troubles), and goes on with a call that is given up.
SECOND_CALL = 1.6
SECOND_CALL_MS = 100.0
# A call is given up after this many times its expected time and a little; servers that are dark
# never answer.
PATIENCE = 5.0
PATIENCE_MS = 250.0
# How often one piece is sent at most; the retry budget of the service usually ends it before.
MOST_TRIES = 4
# A server that refused since it is full is asked again after about a third of a call.
FULL_PAUSE_MS = 60.0
# A server without room for results gets some within about this time, as results are given up.
NO_ROOM_PAUSE_MS = 80.0


class BatchRun:
    """Sends a batch of pieces to a server, and settles or repeats each of them.

    Args:
        home: The batcher that they come from.
        state: The server.
        batch: The pieces.
        limits: What the server takes at once.
        now: The clock's time.
    """

    def __init__(
        self,
        home: Batcher,
        state: ServerState,
        batch: list[Waiting],
        limits: BatchLimits,
        now: float,
    ) -> None:
        self.home = home
        self.state = state
        self.batch = batch
        self.limits = limits
        asked = sum(progress.job.result_bytes for progress, _ in batch)
        self.spare = limits.room_bytes - home.room.taken(state.server.name, now) - asked
        expected_ms = limits.expected_ms(len(batch)) * state.slowness_at(now)
        self.call = StageCallState(now, expected_ms, len(batch))

    def run(self) -> None:
        """Make the call, and settle or repeat its pieces."""
        pieces = [progress.job.piece(fragment) for progress, fragment in self.batch]
        for progress, fragment in self.batch:
            progress.tries[fragment] += 1
        patience_ms = PATIENCE * self.call.expected_ms + PATIENCE_MS
        late_ms = SECOND_CALL * self.call.expected_ms + SECOND_CALL_MS
        cancel = self.home.clock.call_later(late_ms, self.send_twice)
        try:
            results = self.home.upstream.run_pieces(
                self.state.server, pieces, patience_ms, self.home.notices.dispatch
            )
        except StageError as error:
            self.failed(error)
        else:
            self.succeeded(results)
        finally:
            cancel()
            self.home.servers.end(self.state, self.call, self.home.clock.now())
            self.home.pump()

    def send_twice(self) -> None:
        """Let the pieces of a call that takes long wait for another server as well."""
        now = self.home.clock.now()
        self.state.record_time_ratio(
            (now - self.call.started) / self.limits.expected_ms(len(self.batch)), now
        )
        self.home.servers.mark_overdue(self.state, self.call)
        again = [one for one in self.batch if not one[0].has(one[1]) and self.home.budget.spend()]
        log_message(
            "pieces-late",
            service=self.home.service,
            server=self.state.server.name,
            pieces=len(self.batch),
            again=len(again),
            elapsed_ms=round(now - self.call.started),
            expected_ms=round(self.call.expected_ms),
            requests=sorted({progress.job.request for progress, _ in self.batch}),
        )
        for waiting in again:
            self.home.twice.add(waiting)
            self.home.queue.add_again(waiting)
        self.home.pump()

    def succeeded(self, results: Sequence[PieceResult]) -> None:
        """Settle the pieces of a call that was answered."""
        now = self.home.clock.now()
        elapsed_ms = now - self.call.started
        self.state.breaker.succeed()
        self.home.servers.answered(self.state, now)
        self.state.record_time_ratio(elapsed_ms / self.limits.expected_ms(len(self.batch)), now)
        self.home.rate.add(len(self.batch))
        self.home.metrics.count(Metric.STAGE_CALLS)
        self.home.metrics.count(Metric.STAGE_PIECES, number=len(self.batch))
        self.home.metrics.timing(Metric.STAGE_CALL_MS, elapsed_ms)
        failed = [one.failure.value for one in results if one.failure is not None]
        log_message(
            "pieces-made",
            service=self.home.service,
            server=self.state.server.name,
            pieces=len(self.batch),
            waiting=len(self.home.queue),
            elapsed_ms=round(elapsed_ms),
            slowness=round(self.state.slowness, 2),
            room_used=round(self.home.room.taken(self.state.server.name, now)),
            failed=failed,
            requests=sorted({progress.job.request for progress, _ in self.batch}),
        )
        if PieceFailure.NO_ROOM.value in failed:
            self.home.servers.pause(self.state, now + NO_ROOM_PAUSE_MS)
        for waiting, result in zip(self.batch, results, strict=True):
            self.take_result(waiting, result, now)

    def take_result(self, waiting: Waiting, result: PieceResult, now: float) -> None:
        """Settle a piece, or let it wait again."""
        progress, fragment = waiting
        if result.failure is None:
            self.home.twice.discard(waiting)
        size, server = progress.job.result_bytes, self.state.server.name
        if result.failure is not None:
            self.home.room.give_back(server, size)
        else:
            self.home.room.keep(result.handle, server, size, now + self.limits.kept_ms)
        if result.failure is PieceFailure.NO_ROOM:
            # The server did not work on it, so that this is no repeat.
            # Sizes are told about: a call that was to fill the room may miss it by a result or so.
            if self.spare > size:
                self.home.room.found_full(server, self.spare, now, self.limits.kept_ms)
            self.home.queue.add_again(waiting)
        elif result.failure is PieceFailure.FAILED:
            self.repeat(progress, fragment, result)
        elif progress.has(fragment):
            self.home.release([result.handle])
        else:
            progress.settle(fragment, replace(result, datacentre=self.state.server.datacentre))
            self.home.quarantine.answer(progress.job.fingerprint)

    def failed(self, error: StageError) -> None:
        """Learn from a call without an answer, and send its pieces again."""
        now = self.home.clock.now()
        if error.code in {Code.SERVER_FULL, Code.SERVER_REFUSED}:
            self.home.servers.pause(self.state, now + FULL_PAUSE_MS)
            self.state.breaker.abandon()
        elif error.code is Code.SERVER_REPLACED:
            self.state.mark_leaving(now)
            self.state.breaker.abandon()
        elif self.home.servers.has_answered_since(self.state, self.call):
            # Only the answer was lost.
            self.state.breaker.abandon()
        else:
            self.state.breaker.trip(now)
        log_message(
            "pieces-failed",
            service=self.home.service,
            server=self.state.server.name,
            pieces=len(self.batch),
            code=error.code.number,
            reason=error.detail,
            elapsed_ms=round(now - self.call.started),
            requests=sorted({progress.job.request for progress, _ in self.batch}),
        )
        self.home.metrics.count(Metric.RETRIED, error.code.name.lower())
        self.look_into(error)
        for progress, fragment in self.batch:
            size, server = progress.job.result_bytes, self.state.server.name
            self.home.room.give_back(server, size)
            if error.dispatched:
                self.home.room.lose(server, size, now + self.limits.kept_ms)
                self.repeat(progress, fragment, PieceResult("", PieceFailure.FAILED))
            else:
                # It did not reach a server that works on it, so that this is no repeat.
                progress.tries[fragment] -= 1
                self.home.queue.add_again((progress, fragment))

    def look_into(self, error: StageError) -> None:
        """Find out whether the server has ended where the call to it broke."""
        if not broke(error):
            return
        now = self.home.clock.now()
        ran_ms = now - self.call.started
        jobs = {progress.job.fingerprint: progress.job for progress, _ in self.batch}
        lost = [
            Interruption(job.fingerprint, job.request, ran_ms, now, alone=len(jobs) == 1)
            for job in jobs.values()
            if job.fingerprint
        ]
        self.home.ends.broke(self.state.server, lost)

    def repeat(self, progress: JobProgress, fragment: int, result: PieceResult) -> None:
        """Let a piece wait again, where it may still be sent."""
        if progress.has(fragment):
            return
        if (progress, fragment) in self.home.twice:
            # It is under way at another server, whose failure is not followed by another one.
            self.home.twice.discard((progress, fragment))
            return
        if progress.tries[fragment] < MOST_TRIES and self.home.budget.spend():
            self.home.queue.add_again((progress, fragment))
        else:
            progress.settle(fragment, result)
