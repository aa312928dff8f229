# batcher.py -- Pieces of one service in batches
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Pieces of one service in batches."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import gevent

from mountladder.clocks.clock import Clock
from mountladder.forwarding.backlog import PLACES, Backlog
from mountladder.forwarding.batchlimits import BatchLimits
from mountladder.forwarding.batchrun import BatchRun
from mountladder.forwarding.cataloguefollower import CatalogueFollower
from mountladder.forwarding.coldservers import ColdServers
from mountladder.forwarding.directory import Directory
from mountladder.forwarding.division import Division
from mountladder.forwarding.jobprogress import Done, JobProgress
from mountladder.forwarding.piecequeue import PieceQueue, Waiting, apart
from mountladder.forwarding.piecerate import PieceRate
from mountladder.forwarding.releaser import Releaser
from mountladder.forwarding.resultroom import ResultRoom
from mountladder.forwarding.stagedemand import StageDemand
from mountladder.forwarding.stagejob import StageJob
from mountladder.forwarding.stageservers import StageServers
from mountladder.forwarding.upstream import Upstream
from mountladder.limits.windowbudget import WindowBudget
from mountladder.metrics.metrics import Metrics
from mountladder.notices.noticedispatcher import NoticeDispatcher
from mountladder.quarantine.quarantineservice import QuarantineService
from mountladder.routing.router import Router
from mountladder.routing.serverstate import ServerState
from mountladder.serverlimits.serverlimits import ServerLimits

# How soon the queue is looked at again where no event would do it.
LOOK_AGAIN_MS = 40.0
# For how long a backlog that was worked out is told: a tenth of a call.
BACKLOG_MS = 20.0
# What pieces are taken to wait where no server is in use.
NO_SERVER_MS = 5_000.0
# Pieces that wait longer than so many full calls wait for more than the next free server.
CROWDED = 1.5
# A server that limits what it takes is asked to give up results once so much of its room is taken.
SHORT_ROOM = 0.5
# The servers are taken to make at least this part of what full calls would make.
LEAST_RATE = 0.3


class Batcher:
    """Sends the pieces of one service to its servers, as many in a call as are waiting.

    A call costs much before its first piece, so that pieces of many requests share calls. While
    every server is busy pieces wait; the server that is free first takes those due first. Pieces
    that cannot be on time any more go behind all others, by urgency.

    Args:
        service: The name of the service.
        catalogue: What a server of the service takes at once.
        division: Which servers the pieces are made at.
        router: What is known of each server.
        upstream: Calls the servers.
        quarantine: Knows under whose pieces servers end.
        budget: Limits how often pieces are sent again.
        clock: The clock.
        metrics: Where calls are counted.
        cold: Limits what servers get that have just started.
        limits: Keeps to what servers say that they take.
        notices: Takes in what answers say of their servers.
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
    ) -> None:
        self.service = service
        self.notices = notices
        self.catalogue = catalogue
        self.upstream = upstream
        self.ends = quarantine.ends
        self.quarantine = quarantine.book
        self.budget = budget
        self.clock = clock
        self.metrics = metrics
        self.queue = PieceQueue()
        self.demand = StageDemand(clock)
        self.servers = StageServers(service, division, router, cold, limits)
        self.room = ResultRoom()
        self.rate = PieceRate(clock)
        self.twice: set[Waiting] = set()
        self.told: tuple[float, Backlog] | None = None
        self.releaser = self.make_releaser(division.directory)
        self.cancel_look: Callable[[], None] | None = None

    def make_releaser(self, directory: Directory) -> Releaser:
        """Return what gives up results."""
        return Releaser(
            self.upstream,
            directory,
            self.clock,
            self.freed,
            self.notices.dispatch,
            self.servers.spared_addresses,
            lambda handle: handle in self.room.results,
        )

    def submit(self, job: StageJob, done: Done) -> JobProgress:
        """Take in the pieces of a stage; done is called with their results."""
        progress = JobProgress(job, done, self.clock.now())
        for _ in range(job.pieces):
            self.budget.earn()
        self.demand.came(job)
        self.queue.add(progress)
        self.pump()
        return progress

    def withdraw(self, progress: JobProgress) -> None:
        """Drop pieces that wait and are not wanted any more, and the results of the others."""
        progress.ended = True
        self.queue.withdraw(progress)
        self.release([one.handle for one in progress.results.values()])

    def limits(self) -> BatchLimits | None:
        """Return what a server takes at once, where the catalogue still has the service."""
        service = self.catalogue.service(self.service)
        return service.batch if service else None

    def pump(self) -> None:
        """Send batches while pieces wait and servers are free."""
        limits = self.limits()
        now = self.clock.now()
        self.queue.drop_late(now)
        self.queue.drop_barred(self.quarantine)
        self.room.drop_old(now)
        if self.releaser.held and limits is not None:
            self.free_held(limits, now)
        if self.queue and limits is not None:
            self.queue.sort(now)
            for state in self.servers.free(limits, now):
                self.offer(state, limits, now)
        self.rate.watch(limits is not None and self.is_crowded(limits, now))
        if self.queue:
            self.look_again()

    def is_crowded(self, limits: BatchLimits, now: float) -> bool:
        """Tell whether pieces wait for longer than for the next free server."""
        return now - self.queue.oldest(now) > CROWDED * limits.expected_ms(limits.pieces)

    def release(self, handles: Sequence[str]) -> None:
        """Give up results that are no longer needed."""
        self.releaser.release(handles)

    def freed(self, handles: Sequence[str]) -> None:
        """Take in that servers have dropped results."""
        for handle in handles:
            self.room.release(handle)
        if self.queue:
            self.pump()

    def free_held(self, limits: BatchLimits, now: float) -> None:
        """Give up results that are held back at servers, where their room gets short."""
        for state in self.servers.usable(now):
            address, name = state.server.address, state.server.name
            held = self.releaser.held.get(address)
            is_short = self.room.taken(name, now) >= SHORT_ROOM * limits.room_bytes
            if held and is_short and self.servers.take_request(state):
                self.releaser.free_held(address)

    def look_again(self) -> None:
        """Look at the queue a little later, unless that is arranged already."""
        if self.cancel_look is None:
            self.cancel_look = self.clock.call_later(LOOK_AGAIN_MS, self.looked)

    def looked(self) -> None:
        """Look at the queue again."""
        self.cancel_look = None
        self.pump()

    def offer(self, state: ServerState, limits: BatchLimits, now: float) -> None:
        """Send a server the pieces that are its to take, where that is best for them."""
        usable = self.servers.usable(now)
        manned = {one.server.datacentre for one in usable}
        used = self.room.taken(state.server.name, now)
        most = self.servers.most_pieces(state, limits)
        chosen = self.queue.choose(state, used, manned, limits, now)[:most]
        batch = apart(chosen, self.quarantine)
        if not batch:
            return
        if self.servers.waits_for_more(usable, len(batch), limits, now):
            return
        if self.servers.is_better_to_wait(state, usable, len(self.queue), limits, now):
            return
        self.queue.take(batch)
        self.start(state, batch, limits, now)

    def backlog(self) -> Backlog:
        """Return how long new pieces are expected to wait, by their place.

        Every heartbeat of every instance that leaves pieces here asks, hundreds of times a second
        in a large fleet, so that the figure may be some milliseconds old.
        """
        now = self.clock.now()
        if self.told is None or now - self.told[0] >= BACKLOG_MS:
            self.told = (now, self.newest_backlog(now))
        return self.told[1]

    def newest_backlog(self, now: float) -> Backlog:
        """Return how long new pieces are expected to wait, from what waits and what is asked."""
        limits = self.limits()
        usable = self.servers.usable(now)
        if limits is None or not usable:
            wait_ms = self.servers.rest_ms() or NO_SERVER_MS
            return Backlog(self.service, (wait_ms,) * len(PLACES))
        rate = sum(self.servers.pieces_per_ms(one, limits, now) for one in usable)
        measured = self.rate.measured()
        if measured is not None:
            rate = max(LEAST_RATE * rate, min(rate, measured))
        busy_ms = min(self.servers.left(one, now) for one in usable)
        return Backlog(self.service, self.demand.waits_ms(self.queue.by_place(now), rate, busy_ms))

    def start(
        self, state: ServerState, batch: list[Waiting], limits: BatchLimits, now: float
    ) -> None:
        """Send a batch to a server, in a task of its own."""
        run = BatchRun(self, state, batch, limits, now)
        self.servers.begin(state, run.call)
        for progress, _ in batch:
            progress.begun = True
            if self.quarantine.goes_alone(progress.job.fingerprint):
                self.quarantine.sending(progress.job.fingerprint, progress.job.request)
            self.room.reserve(state.server.name, progress.job.result_bytes)
        gevent.spawn(run.run)
