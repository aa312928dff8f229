# batcher.py -- Batches pieces of one stage service into calls to its servers
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Batches pieces of one stage service into calls to its servers."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from functools import partial

import gevent

from mountladder.clocks.clock import Clock
from mountladder.forwarding.backlog import PRIORITY_CLASSES, Backlog
from mountladder.forwarding.batchlimits import BatchLimits
from mountladder.forwarding.batchrun import BatchRun
from mountladder.forwarding.cataloguefollower import CatalogueFollower
from mountladder.forwarding.coldservers import ColdServers
from mountladder.forwarding.directory import Directory
from mountladder.forwarding.division import Division
from mountladder.forwarding.jobprogress import Done, JobProgress
from mountladder.forwarding.piecequeue import PieceQueue, QueuedPiece, isolate_suspects
from mountladder.forwarding.piecerate import PieceRate
from mountladder.forwarding.stagedemand import StageDemand
from mountladder.forwarding.stagejob import StageJob
from mountladder.forwarding.stageservers import StageServers
from mountladder.forwarding.upstream import Upstream
from mountladder.limits.windowbudget import WindowBudget
from mountladder.metrics.metrics import Metrics
from mountladder.notices.noticedispatcher import NoticeDispatcher
from mountladder.quarantine.quarantineservice import QuarantineService
from mountladder.results.inputrelease import InputRelease
from mountladder.results.releaser import Releaser
from mountladder.results.resultmemory import ResultMemory
from mountladder.results.resultreservation import ResultReservation
from mountladder.results.surplusrelease import SurplusRelease
from mountladder.routing.router import Router
from mountladder.routing.serverstate import ServerState
from mountladder.serverlimits.serverlimits import ServerLimits
from mountladder.sharing.servicesharing import ServiceSharing

# Interval between polls of a queue with waiting pieces, where no event triggers an earlier one.
POLL_MS = 40.0
# How long a computed backlog is reported before it is computed again: a tenth of a call.
BACKLOG_CACHE_MS = 20.0
# The expected wait while no server is usable.
NO_SERVER_WAIT_MS = 5_000.0
# The service is congested once its oldest piece has waited longer than this many full calls; a
# shorter wait is just for the next free server.
CONGESTED_CALLS = 1.5
# Results that are held back at a rate-limited server are released once this fraction of its result
# memory is in use.
LOW_MEMORY_FRACTION = 0.5
# Lower bound of the measured throughput, as a fraction of the throughput with full calls.
MIN_RATE_FRACTION = 0.3


class Batcher:
    """Sends the pieces of one service to its servers, in batches of all that wait.

    A call has a high fixed cost, so the pieces of many requests share calls. While all servers are
    busy, pieces wait; the first free server gets those that are due first. Pieces that can't be on
    time any more are queued behind all others, by urgency.

    Args:
        service: The name of the service.
        catalogue: Source of the service's batch limits.
        division: Selects the servers that pieces are sent to.
        router: Holds the state of each server.
        upstream: Calls the servers.
        quarantine: Tracks requests whose pieces crash servers.
        budget: Retry budget for pieces of the service.
        clock: The clock.
        metrics: Counts and times calls.
        cold: Limits the pieces sent to servers that have just started.
        limits: Enforces the rate limits that servers announce.
        notices: Receives the notices that answers carry about their servers.
        share_fairly: Returns whether ranks and teams are kept from starving each other.
        reserves_results: Returns whether memory for results is reserved and released early.
    """

    def __init__(
        self,
        service: str,
        catalogue: CatalogueFollower,
        division: Division,
        router: Router,
        upstream: Upstream,
        quarantine: QuarantineService,
        budget: WindowBudget,
        clock: Clock,
        metrics: Metrics,
        cold: ColdServers,
        limits: ServerLimits,
        notices: NoticeDispatcher,
        share_fairly: Callable[[], bool] = lambda: True,
        reserves_results: Callable[[], bool] = lambda: True,
    ) -> None:
        self.service = service
        self.notices = notices
        self.catalogue = catalogue
        self.upstream = upstream
        self.detector = quarantine.detector
        self.quarantine = quarantine.registry
        self.budget = budget
        self.clock = clock
        self.metrics = metrics
        self.queue = PieceQueue()
        self.demand = StageDemand(clock)
        self.servers = StageServers(service, division, router, cold, limits)
        self.result_memory = ResultMemory()
        self.rate = PieceRate(clock)
        self.share_fairly = share_fairly
        self.sharing = ServiceSharing(service, metrics)
        self.reserves_results = reserves_results
        self.inputs = InputRelease(catalogue, clock, metrics, reserves_results)
        self.inputs.server_names = self.server_names
        self.surplus = SurplusRelease(self)
        self.reservation = ResultReservation(catalogue, metrics, reserves_results)
        self.hedged: set[QueuedPiece] = set()
        self.cached_backlog: tuple[float, Backlog] | None = None
        self.releaser = self.make_releaser(division.directory)
        self.cancel_poll: Callable[[], None] | None = None

    def make_releaser(self, directory: Directory) -> Releaser:
        """Return the releaser of this batcher's results."""
        return Releaser(
            self.upstream,
            directory,
            self.clock,
            self.on_released,
            self.notices.dispatch,
            self.servers.restricted_addresses,
            lambda handle: handle in self.result_memory.results,
        )

    def submit(self, job: StageJob, done: Done) -> JobProgress:
        """Queue the pieces of a stage; done is called with their results."""
        progress = JobProgress(job, done, self.clock.now())
        for _ in range(job.pieces):
            self.budget.earn()
        self.demand.record_arrival(job)
        if self.share_fairly():
            self.sharing.record_arrival(job, self.clock.now())
        self.queue.add(progress)
        self.pump()
        return progress

    def record_refused(self, pieces: Sequence[int]) -> None:
        """Count the pieces of refused requests, by rank, as asked for."""
        self.servers.router.on_demand(self.service)
        self.demand.record_refused(pieces)
        if self.share_fairly():
            self.sharing.record_refused(pieces, self.clock.now())

    def withdraw(self, progress: JobProgress) -> None:
        """Cancel a stage: drop its waiting pieces and release the results that it has."""
        progress.ended = True
        self.queue.withdraw(progress)
        self.release([one.handle for one in progress.results.values()])

    def limits(self) -> BatchLimits | None:
        """Return the batch limits of a server, or None if the catalogue lacks the service."""
        service = self.catalogue.service(self.service)
        return service.batch if service else None

    def pump(self) -> None:
        """Send batches while pieces wait and servers are free."""
        limits = self.limits()
        now = self.clock.now()
        self.queue.drop_expired(now)
        self.queue.drop_quarantined(self.quarantine)
        self.result_memory.drop_expired(now)
        if self.releaser.held and limits is not None:
            self.release_held(limits, now)
        if limits is not None:
            self.surplus.check(limits, now)
        if self.queue and limits is not None:
            self.servers.router.on_demand(self.service)
            free = self.servers.free(limits, now)
            if free:
                self.sort_queue(len(free), limits, now)
            for state in free:
                self.offer(state, limits, now)
        self.rate.set_congested(limits is not None and self.is_congested(limits, now))
        if self.queue:
            self.schedule_poll()

    def sort_queue(self, free: int, limits: BatchLimits, now: float) -> None:
        """Sort the queue for the next calls, with floors and shares while it is congested."""
        if not self.share_fairly():
            self.queue.sort(now)
            return
        congested = self.is_congested(limits, now)
        arrange = partial(
            self.sharing.arrange, limits=limits, free=free, congested=congested, now=now
        )
        self.queue.sort(now, arrange)

    def is_congested(self, limits: BatchLimits, now: float) -> bool:
        """Return whether pieces wait longer than until the next server is free."""
        return now - self.queue.oldest(now) > CONGESTED_CALLS * limits.expected_ms(limits.pieces)

    def congestion_onset_ms(self, limits: BatchLimits, now: float) -> float:
        """Return the time until the oldest piece has waited for so long that it is congested."""
        waited_ms = now - self.queue.oldest(now)
        return max(0.0, CONGESTED_CALLS * limits.expected_ms(limits.pieces) - waited_ms)

    def release(self, handles: Sequence[str]) -> None:
        """Release results that are no longer needed."""
        self.surplus.discard(handles)
        self.releaser.release(handles)

    def server_names(self, handles: Sequence[str]) -> frozenset[str]:
        """Return the names of the listed servers that hold results."""
        by_address = self.servers.division.directory.by_address
        addresses = {handle.partition("/")[0] for handle in handles}
        return frozenset(by_address[one].name for one in addresses if one in by_address)

    def on_released(self, handles: Sequence[str]) -> None:
        """Free the memory accounted for results that servers have dropped."""
        for handle in handles:
            self.result_memory.release(handle)
        if self.queue:
            self.pump()

    def release_held(self, limits: BatchLimits, now: float) -> None:
        """Release held-back results at servers whose result memory runs short."""
        for state in self.servers.usable(now):
            address, name = state.server.address, state.server.name
            held = self.releaser.held.get(address)
            is_low = (
                self.result_memory.used_bytes(name, now)
                >= LOW_MEMORY_FRACTION * limits.result_memory_bytes
            )
            if held and is_low and self.servers.try_acquire(state):
                self.releaser.release_held(address)

    def schedule_poll(self) -> None:
        """Schedule a poll of the queue, unless one is scheduled already."""
        if self.cancel_poll is None:
            self.cancel_poll = self.clock.call_later(POLL_MS, self.poll)

    def poll(self) -> None:
        """Poll the queue."""
        self.cancel_poll = None
        self.pump()

    def offer(self, state: ServerState, limits: BatchLimits, now: float) -> None:
        """Send a batch to a free server, unless it is better that the pieces wait."""
        usable = self.servers.usable(now)
        served_datacentres = {one.server.datacentre for one in usable}
        used_bytes = self.result_memory.used_bytes(state.server.name, now)
        max_pieces = min(
            self.servers.max_pieces(state, limits),
            self.servers.slow_pieces(state, usable, len(self.queue), limits, now),
        )
        chosen = self.reservation.choose(
            self.queue, state, used_bytes, served_datacentres, limits, now
        )[:max_pieces]
        batch = isolate_suspects(chosen, self.quarantine)
        if not batch:
            return
        if self.servers.should_wait_for_more(usable, len(batch), limits, now):
            return
        if self.servers.is_better_to_wait(state, usable, len(self.queue), limits, now):
            return
        self.queue.take(batch)
        self.start(state, batch, limits, now)

    def backlog(self) -> Backlog:
        """Return the expected waits of new pieces, up to BACKLOG_CACHE_MS old.

        It is read for each heartbeat of each instance that sends pieces here, hundreds of times a
        second in a large fleet, so it is cached.
        """
        now = self.clock.now()
        if self.cached_backlog is None or now - self.cached_backlog[0] >= BACKLOG_CACHE_MS:
            self.cached_backlog = (now, self.compute_backlog(now))
        return self.cached_backlog[1]

    def compute_backlog(self, now: float) -> Backlog:
        """Compute the expected waits of new pieces from the queue and the demand."""
        limits = self.limits()
        usable = self.servers.usable(now)
        if limits is None or not usable:
            wait_ms = self.servers.backoff_ms() or NO_SERVER_WAIT_MS
            return Backlog(self.service, (wait_ms,) * len(PRIORITY_CLASSES))
        rate = sum(self.servers.pieces_per_ms(one, limits, now) for one in usable)
        measured = self.rate.measured()
        if measured is not None:
            rate = max(MIN_RATE_FRACTION * rate, min(rate, measured))
        busy_ms = min(self.servers.remaining_ms(one, now) for one in usable)
        waiting = self.queue.count_by_priority(now)
        if not self.share_fairly():
            return Backlog(self.service, self.demand.waits_ms(waiting, rate, busy_ms))
        onset_ms = self.congestion_onset_ms(limits, now)
        call_ms = limits.expected_ms(limits.pieces)
        floors = partial(self.sharing.floors, now=now, onset_ms=onset_ms, call_ms=call_ms)
        return Backlog(self.service, self.demand.waits_ms(waiting, rate, busy_ms, floors))

    def start(
        self, state: ServerState, batch: list[QueuedPiece], limits: BatchLimits, now: float
    ) -> None:
        """Send a batch to a server in a new greenlet."""
        run = BatchRun(self, state, batch, limits, now)
        self.servers.begin(state, run.call)
        self.inputs.call_began(run, len(self.servers.calls[state.server.name]))
        for progress, fragment in batch:
            progress.begun = True
            progress.copies[fragment] += 1
            if self.quarantine.needs_own_call(progress.job.fingerprint):
                self.quarantine.record_sent(progress.job.fingerprint, progress.job.request)
            hold_ms = self.reservation.need(progress.job, limits, now).hold_ms
            self.result_memory.reserve(
                state.server.name, progress.job.result_bytes, until=now + hold_ms
            )
        if self.share_fairly():
            self.sharing.record_call(batch, limits, now)
        gevent.spawn(run.run)
