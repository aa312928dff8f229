# batcher.py -- Pieces of one service in batches
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Pieces of one service in batches."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import replace

import gevent
from eliot import log_message

from mountladder.clocks.clock import Clock
from mountladder.code import Code
from mountladder.errors import StageError
from mountladder.forwarding.backlog import LAST_RANK, Backlog, rank
from mountladder.forwarding.batchlimits import BatchLimits
from mountladder.forwarding.cataloguefollower import CatalogueFollower
from mountladder.forwarding.directory import Directory
from mountladder.forwarding.jobprogress import Done, JobProgress
from mountladder.forwarding.piecefailure import PieceFailure
from mountladder.forwarding.pieceresult import PieceResult
from mountladder.forwarding.releaser import Releaser
from mountladder.forwarding.resultroom import ResultRoom
from mountladder.forwarding.stagecallstate import StageCallState
from mountladder.forwarding.stagejob import StageJob
from mountladder.forwarding.stagenotice import StageNotice
from mountladder.forwarding.upstream import Upstream
from mountladder.limits.rankrates import RankRates
from mountladder.limits.windowbudget import WindowBudget
from mountladder.metrics.metric import Metric
from mountladder.metrics.metrics import Metrics
from mountladder.routing.router import Router
from mountladder.routing.serverstate import ServerState

# A call is given up after this many times its expected time and a little; servers that are dark
# never answer, and slow ones are several times slower (the users' list of troubles: 4 to 5 times).
PATIENCE = 2.5
PATIENCE_MS = 250.0
# How often one piece is sent at most; the retry budget of the service usually ends it before.
MOST_TRIES = 4
# A server that refused since it is full is asked again after about a third of a call.
FULL_PAUSE_MS = 60.0
# A server without room for results gets some within about this time, as results are given up.
NO_ROOM_PAUSE_MS = 80.0
# How soon the queue is looked at again where no event would do it.
LOOK_AGAIN_MS = 40.0
# A request of the next rank goes first only if it is due this much sooner: about a third of the
# longest aims, so that when there is not enough for all, those served are worth more.
RANK_MS = 600.0
# At least this part of the rate is taken to be left for the least urgent pieces.
LEAST_RATE = 0.1
# What pieces are taken to wait where no server is in use.
NO_SERVER_MS = 5_000.0
# Pieces that were announced and have not come by then are not expected any more.
ANNOUNCED_MS = 2_500.0
# How long pieces wait for a server of the data centre where their bytes lie or are needed, by the
# rank of their request: what crosses costs about as much as the least urgent request is worth.
FAR_PATIENCE_MS = (80.0, 150.0, 400.0)
BYTES_PER_MB = 1_000_000.0
# A server this much slower than usual is left alone while another is soon free.
MUCH_SLOWER = 1.8

RANKS = range(LAST_RANK + 1)
Waiting = tuple[JobProgress, int]


class Batcher:
    """Sends the pieces of one service to its servers, as many in a call as are waiting.

    A call costs much before its first piece, so that pieces of many requests share calls. While
    every server is busy pieces wait; the server that is free first takes those due first. Pieces
    that cannot be on time any more go behind all others, by urgency.

    Args:
        service: The name of the service.
        catalogue: What a server of the service takes at once.
        directory: Which servers there are.
        router: What is known of each server.
        upstream: Calls the servers.
        budget: Limits how often pieces are sent again.
        clock: The clock.
        metrics: Where calls are counted.
    """

    def __init__(
        self,
        service: str,
        catalogue: CatalogueFollower,
        directory: Directory,
        router: Router,
        upstream: Upstream,
        budget: WindowBudget,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.service = service
        self.catalogue = catalogue
        self.directory = directory
        self.router = router
        self.upstream = upstream
        self.budget = budget
        self.clock = clock
        self.metrics = metrics
        self.queue: list[Waiting] = []
        self.calls: dict[str, list[StageCallState]] = {}
        self.paused: dict[str, float] = {}
        self.room = ResultRoom()
        self.rates = RankRates(clock)
        self.announced: dict[tuple[str, int], tuple[StageNotice, float]] = {}
        self.releaser = Releaser(upstream, clock, self.freed)
        self.cancel_look: Callable[[], None] | None = None

    def submit(self, job: StageJob, done: Done) -> JobProgress:
        """Take in the pieces of a stage; done is called with their results."""
        progress = JobProgress(job, done, self.clock.now())
        self.budget.earn()
        self.rates.add(rank(job.urgency), job.pieces)
        self.announced.pop((job.request, job.stage), None)
        self.queue += [(progress, fragment) for fragment in range(job.pieces)]
        self.pump()
        return progress

    def announce(self, notice: StageNotice) -> None:
        """Take in which pieces will come, so that they count as waiting already."""
        key = (notice.request, notice.stage)
        self.announced.pop(key, None)
        if notice.pieces:
            self.announced[key] = (notice, self.clock.now() + ANNOUNCED_MS)

    def withdraw(self, progress: JobProgress) -> None:
        """Drop pieces that wait and are not wanted any more."""
        progress.ended = True
        self.queue = [one for one in self.queue if one[0] is not progress]

    def limits(self) -> BatchLimits | None:
        """Return what a server takes at once, where the catalogue still has the service."""
        catalogue = self.catalogue.catalogue
        service = catalogue.services.get(self.service) if catalogue else None
        return service.batch if service else None

    def pump(self) -> None:
        """Send batches while pieces wait and servers are free."""
        limits = self.limits()
        now = self.clock.now()
        self.drop_late(now)
        self.room.drop_old(now)
        if self.queue and limits is not None:
            self.queue.sort(key=lambda one: self.order(one, now))
            for state in self.free_servers(limits, now):
                self.offer(state, limits, now)
        if self.queue:
            self.look_again()

    def release(self, handles: Sequence[str]) -> None:
        """Give up results that are no longer needed."""
        self.releaser.release(handles)

    def freed(self, handles: Sequence[str]) -> None:
        """Take in that servers have dropped results."""
        for handle in handles:
            self.room.release(handle)
        if self.queue:
            self.pump()

    def look_again(self) -> None:
        """Look at the queue a little later, unless that is arranged already."""
        if self.cancel_look is None:
            self.cancel_look = self.clock.call_later(LOOK_AGAIN_MS, self.looked)

    def looked(self) -> None:
        """Look at the queue again."""
        self.cancel_look = None
        self.pump()

    def drop_late(self, now: float) -> None:
        """Settle pieces that are of no use any more."""
        late = [one for one in self.queue if one[0].ended or one[0].job.deadline <= now]
        if not late:
            return
        self.queue = [one for one in self.queue if not one[0].ended and one[0].job.deadline > now]
        for progress, fragment in late:
            progress.settle(fragment, PieceResult("", PieceFailure.LATE))

    def usable_servers(self, now: float) -> list[ServerState]:
        """Return the servers that may be sent a call now, or once they are free."""
        states = (self.router.state(one) for one in self.directory.available(self.service))
        return [one for one in states if one.usable(now)]

    def free_servers(self, limits: BatchLimits, now: float) -> list[ServerState]:
        """Return the servers that can take a call at once, the fastest first."""
        usable = self.usable_servers(now)
        free = [one for one in usable if self.is_free(one, limits, now)]
        return sorted(free, key=lambda one: one.slowness_at(now))

    def offer(self, state: ServerState, limits: BatchLimits, now: float) -> None:
        """Send a server the pieces that are its to take, where that is best for them."""
        usable = self.usable_servers(now)
        batch = self.choose(state, usable, limits, now)
        if not batch:
            return
        slow = state.slowness_at(now) > MUCH_SLOWER
        if slow and self.is_better_to_wait(state, usable, limits, now):
            return
        chosen = set(map(id, batch))
        self.queue = [one for one in self.queue if id(one) not in chosen]
        self.start(state, batch, limits, now)

    def choose(
        self, state: ServerState, usable: Sequence[ServerState], limits: BatchLimits, now: float
    ) -> list[Waiting]:
        """Return the first pieces that a server has room for and that may be made there."""
        used = self.room.used[state.server.name]
        room = limits.room_mb * BYTES_PER_MB - used
        manned = {one.server.datacentre for one in usable}
        batch: list[Waiting] = []
        left_out: set[JobProgress] = set()
        for waiting in self.queue:
            progress = waiting[0]
            size = progress.job.result_bytes
            begun = bool(progress.results) or any(progress is one for one, _ in batch)
            needed = size if begun or not used else size * progress.job.pieces
            if (
                progress in left_out
                or needed > room
                or not self.may_go(progress, state, manned, now)
            ):
                left_out.add(progress)
                continue
            room -= size
            batch.append(waiting)
            if len(batch) == limits.pieces:
                break
        return batch

    def may_go(
        self, progress: JobProgress, state: ServerState, manned: set[str], now: float
    ) -> bool:
        """Tell whether pieces may be made in a server's data centre, or wait for another one."""
        wanted = progress.job.datacentre
        if wanted in {"", state.server.datacentre} or wanted not in manned:
            return True
        return now - progress.since >= FAR_PATIENCE_MS[rank(progress.job.urgency)]

    def backlog(self) -> Backlog:
        """Return how long new pieces are expected to wait, by the rank of their request."""
        now = self.clock.now()
        limits = self.limits()
        usable = self.usable_servers(now)
        if limits is None or not usable:
            return Backlog(self.service, (NO_SERVER_MS,) * (LAST_RANK + 1))
        full_ms = limits.expected_ms(limits.pieces)
        rate = sum(limits.pieces / (full_ms * one.slowness_at(now)) for one in usable)
        busy = min(self.left(one, now) for one in usable)
        ahead = Counter(rank(progress.job.urgency) for progress, _ in self.queue)
        for notice, until in list(self.announced.values()):
            if until > now:
                ahead[rank(notice.urgency)] += notice.pieces
            else:
                del self.announced[notice.request, notice.stage]
        waits = []
        for place in RANKS:
            # What comes in meanwhile and is more urgent goes first.
            left = max(LEAST_RATE * rate, rate - self.rates.above(place))
            waits.append(busy + sum(ahead[one] for one in range(place + 1)) / left)
        return Backlog(self.service, tuple(waits))

    def left(self, state: ServerState, now: float) -> float:
        """Return how long the calls at a server are expected to take yet."""
        return max((call.left(now) for call in self.calls.get(state.server.name, ())), default=0.0)

    def is_better_to_wait(
        self, slow: ServerState, usable: Sequence[ServerState], limits: BatchLimits, now: float
    ) -> bool:
        """Tell whether servers that are busy would have done the waiting pieces sooner."""
        pieces = min(len(self.queue), limits.pieces)
        alone_ms = limits.expected_ms(pieces) * slow.slowness_at(now)
        room = 0
        for state in usable:
            if state is slow or state.slowness_at(now) > MUCH_SLOWER:
                continue
            left = self.left(state, now)
            if left + limits.expected_ms(pieces) * state.slowness_at(now) < alone_ms:
                room += limits.pieces
        return len(self.queue) <= room

    def is_free(self, state: ServerState, limits: BatchLimits, now: float) -> bool:
        """Tell whether a server may be sent a call now."""
        paused = self.paused.get(state.server.name, 0.0) > now
        return not paused and self.running(state) < limits.calls

    def running(self, state: ServerState) -> int:
        """Return how many calls this instance has running at a server."""
        return len(self.calls.get(state.server.name, ()))

    def order(self, waiting: Waiting, now: float) -> tuple[bool, bool, int, float]:
        """Return the sort key by which pieces are sent.

        A stage that is begun goes first, since its results take room until all of them are there.
        """
        progress = waiting[0]
        job = progress.job
        late = job.due < now
        place = rank(job.urgency)
        return not progress.results, late, place if late else 0, job.due + RANK_MS * place

    def start(
        self, state: ServerState, batch: list[Waiting], limits: BatchLimits, now: float
    ) -> None:
        """Send a batch to a server, in a task of its own."""
        expected_ms = limits.expected_ms(len(batch)) * state.slowness_at(now)
        call = StageCallState(now, expected_ms, len(batch))
        self.calls.setdefault(state.server.name, []).append(call)
        for progress, _ in batch:
            self.room.reserve(state.server.name, progress.job.result_bytes)
        state.begin(now)
        gevent.spawn(self.call, state, batch, call, limits)

    def call(
        self, state: ServerState, batch: list[Waiting], call: StageCallState, limits: BatchLimits
    ) -> None:
        """Make one call and settle or repeat its pieces."""
        pieces = [progress.job.piece(fragment) for progress, fragment in batch]
        for progress, fragment in batch:
            progress.tries[fragment] += 1
        patience_ms = PATIENCE * call.expected_ms + PATIENCE_MS
        try:
            results = self.upstream.run_pieces(state.server, pieces, patience_ms)
        except StageError as error:
            self.failed(state, batch, call, error)
        else:
            self.succeeded(state, batch, call, limits, results)
        finally:
            self.calls[state.server.name].remove(call)
            state.end(self.clock.now())
            self.pump()

    def succeeded(
        self,
        state: ServerState,
        batch: list[Waiting],
        call: StageCallState,
        limits: BatchLimits,
        results: Sequence[PieceResult],
    ) -> None:
        """Settle the pieces of a call that was answered."""
        now = self.clock.now()
        elapsed_ms = now - call.started
        state.breaker.succeed()
        state.timed(elapsed_ms / limits.expected_ms(len(batch)), now)
        self.metrics.count(Metric.STAGE_CALLS)
        self.metrics.count(Metric.STAGE_PIECES, number=len(batch))
        self.metrics.timing(Metric.STAGE_CALL_MS, elapsed_ms)
        failed = [one.failure.value for one in results if one.failure is not None]
        log_message(
            "pieces-made",
            service=self.service,
            server=state.server.name,
            pieces=len(batch),
            waiting=len(self.queue),
            elapsed_ms=round(elapsed_ms),
            slowness=round(state.slowness, 2),
            failed=failed,
            requests=sorted({progress.job.request for progress, _ in batch}),
        )
        if PieceFailure.NO_ROOM.value in failed:
            self.paused[state.server.name] = now + NO_ROOM_PAUSE_MS
        for waiting, result in zip(batch, results, strict=True):
            self.take_result(state, waiting, result, now + limits.kept_ms)

    def take_result(
        self, state: ServerState, waiting: Waiting, result: PieceResult, until: float
    ) -> None:
        """Settle a piece, or let it wait again."""
        progress, fragment = waiting
        size, server = progress.job.result_bytes, state.server.name
        if result.failure is not None:
            self.room.give_back(server, size)
        else:
            self.room.keep(result.handle, server, size, until)
        if result.failure is PieceFailure.NO_ROOM:
            # The server did not work on it, so that this is no repeat.
            self.queue.append(waiting)
        elif result.failure is PieceFailure.FAILED:
            self.repeat(progress, fragment, result)
        elif progress.ended and result.handle:
            self.release([result.handle])
        else:
            progress.settle(fragment, replace(result, datacentre=state.server.datacentre))

    def failed(
        self, state: ServerState, batch: list[Waiting], call: StageCallState, error: StageError
    ) -> None:
        """Learn from a call without an answer, and send its pieces again."""
        now = self.clock.now()
        if error.code in {Code.SERVER_FULL, Code.SERVER_REFUSED}:
            self.paused[state.server.name] = now + FULL_PAUSE_MS
            state.breaker.abandon()
        elif error.code is Code.SERVER_REPLACED:
            state.leave(now)
            state.breaker.abandon()
        else:
            state.breaker.trip(now)
        log_message(
            "pieces-failed",
            service=self.service,
            server=state.server.name,
            pieces=len(batch),
            code=error.code.number,
            reason=error.detail,
            elapsed_ms=round(now - call.started),
            requests=sorted({progress.job.request for progress, _ in batch}),
        )
        self.metrics.count(Metric.RETRIED, error.code.name.lower())
        for progress, fragment in batch:
            self.room.give_back(state.server.name, progress.job.result_bytes)
            if error.dispatched:
                self.repeat(progress, fragment, PieceResult("", PieceFailure.FAILED))
            else:
                # It did not reach a server that works on it, so that this is no repeat.
                progress.tries[fragment] -= 1
                self.queue.append((progress, fragment))

    def repeat(self, progress: JobProgress, fragment: int, result: PieceResult) -> None:
        """Let a piece wait again, where it may still be sent."""
        if progress.ended:
            return
        if progress.tries[fragment] < MOST_TRIES and self.budget.spend():
            self.queue.append((progress, fragment))
        else:
            progress.settle(fragment, result)
