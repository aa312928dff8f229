# forwardinginstance.py -- An instance that forwards requests, without its HTTP interface
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""An instance that forwards requests, without its HTTP interface."""

from __future__ import annotations

import random
import uuid
from collections.abc import Callable
from contextlib import ExitStack

import gevent

from mountladder.clocks.clock import Clock
from mountladder.forwarding.batcher import Batcher
from mountladder.forwarding.cataloguefollower import CatalogueFollower
from mountladder.forwarding.coldservers import ColdServers
from mountladder.forwarding.connectionshare import ConnectionShare
from mountladder.forwarding.departure import Departure
from mountladder.forwarding.directory import Directory
from mountladder.forwarding.directorylisting import DirectoryListing
from mountladder.forwarding.fetchtime import FetchTime
from mountladder.forwarding.fleet import Fleet
from mountladder.forwarding.forwardcontext import ForwardContext
from mountladder.forwarding.forwarder import Forwarder
from mountladder.forwarding.forwardingsettings import ForwardingSettings
from mountladder.forwarding.leadership import Leadership
from mountladder.forwarding.memberreader import MemberReader
from mountladder.forwarding.pageapplier import PageApplier
from mountladder.forwarding.placementdesk import PlacementDesk
from mountladder.forwarding.platformtables import PlatformTables
from mountladder.forwarding.promptplacer import PromptPlacer
from mountladder.forwarding.readerelection import READER_BEACON_MS
from mountladder.forwarding.retrybudgets import RetryBudgets
from mountladder.forwarding.serverpicker import ServerPicker
from mountladder.forwarding.source import Source
from mountladder.forwarding.sourcefollower import SourceFollower
from mountladder.forwarding.sourcepage import SourcePage
from mountladder.forwarding.stagedispatch import StageDispatch
from mountladder.forwarding.stageforecast import StageForecast
from mountladder.forwarding.upstream import Upstream
from mountladder.membership.instance import Instance
from mountladder.membership.membership import Membership
from mountladder.membership.network import Network
from mountladder.metrics.metrics import Metrics
from mountladder.notices.noticeboard import NoticeBoard
from mountladder.quarantine.barkeeper import BarKeeper
from mountladder.quarantine.quarantineservice import QuarantineService
from mountladder.routing.costmodel import CostModel
from mountladder.routing.expectedcompletion import ExpectedCompletion
from mountladder.routing.router import Router
from mountladder.serverlimits.serverlimits import ServerLimits
from mountladder.supervision import keep_running

# Three missed heartbeats are silence, after which stages are handed to another instance: with
# 250 ms that is about the time of three stages.
HEARTBEAT_MS = 250.0
# How often an instance judges whether data centres are cut off, a small part of the silence that it
# takes; the others only look whether what they were told is old.
WATCH_MS = 100.0
WATCH_IDLE_MS = 600.0
# What a call to another data centre is taken to add: half a millisecond each way, and its price.
SPILL_MS = 3.0


class ForwardingInstance:
    """Everything an instance does behind its HTTP interface to forward requests.

    Args:
        settings: The settings.
        clock: The clock.
        tables: The platform's tables.
        upstream: Calls backend servers.
        network: Reaches the other instances.
        metrics: Where metrics go.
        seed: The seed of its random numbers, or None for a different one each time.
    """

    def __init__(
        self,
        settings: ForwardingSettings,
        clock: Clock,
        tables: PlatformTables,
        upstream: Upstream,
        network: Network,
        metrics: Metrics,
        seed: int | None = None,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.tables = tables
        self.network = network
        self.metrics = metrics
        self.stack = ExitStack()
        self.rng = random.Random(seed)
        self.departure = Departure(clock, lambda: self.settings.grace_ms)
        self.me = Instance(
            settings.name,
            uuid.uuid4().hex[:12],
            settings.datacentre,
            "",
            settings.peer,
            cores=settings.cores,
            since=int(clock.wall()),
        )
        self.follower = CatalogueFollower(tables.decode_catalogue, clock)
        self.directory = Directory(clock)
        self.membership = Membership(self.me, clock, HEARTBEAT_MS)
        self.budgets = RetryBudgets(lambda: self.settings, self.membership, clock)
        self.fleet = Fleet(
            self.membership, network, clock, metrics, settings.seeds, self.follower, self.directory
        )
        self.build(upstream)

    def build(self, upstream: Upstream) -> None:
        """Put the parts of the request path together."""
        clock, metrics = self.clock, self.metrics
        self.router = Router(
            clock,
            self.rng,
            CostModel(),
            ExpectedCompletion(),
            metrics,
            self.settings.datacentre,
            SPILL_MS,
        )
        leadership = Leadership(self.fleet, clock)
        self.cold = ColdServers(self.directory, self.follower, leadership, clock)
        self.notices = NoticeBoard(self.fleet, self.directory, self.router, clock, metrics)
        self.limits = ServerLimits(self.notices.book, leadership, clock)
        desk = PlacementDesk(
            self.directory, self.router, clock, self.follower, self.cold, self.limits
        )
        placer = PromptPlacer(self.fleet, desk, clock)
        picker = ServerPicker(self.directory, self.router, placer, self.cold, self.limits)
        self.upstream = upstream
        self.connections = ConnectionShare(self.follower, self.membership)
        upstream.part_of_connections = self.connections.of
        self.build_quarantine(upstream)
        self.dispatch = StageDispatch(self.fleet, self.make_batcher, clock)
        self.directory.listeners.append(self.pump)
        self.forwarder = Forwarder(self.make_context(picker))
        applier = PageApplier(self.tables, self.follower, self.directory, self.fleet.eras, clock)
        self.catalogue_source = self.make_follower(
            "catalogue", self.tables.catalogue, applier.apply_catalogue
        )
        self.directory_source = self.make_follower(
            "servers", self.tables.servers, applier.apply_servers
        )
        self.directory_source.on_reachable = self.directory.mark_store_reachable
        self.member_reader = MemberReader(self.tables.instances, self.fleet, clock)
        self.fleet.is_store_answering = self.is_answered
        self.follower.is_feed_live = self.is_fed

    def build_quarantine(self, upstream: Upstream) -> None:
        """Put the parts together that know under which requests servers end."""
        self.quarantine = QuarantineService(
            upstream.refuses,
            DirectoryListing(self.directory),
            self.fleet,
            lambda: self.settings.secret,
            self.clock,
            self.metrics,
        )
        self.directory.listeners.append(self.quarantine.ends.look)
        book, reader_election = self.quarantine.book, self.fleet.reader_election
        book.on_server_ended = self.take_out
        self.bar_keeper = BarKeeper(self.tables.bars, book, reader_election, self.clock)
        self.fleet.eras.listeners.append(self.bar_keeper.write_again)

    def take_out(self, name: str) -> None:
        """Use a server no more that has ended, whoever noticed."""
        server = self.directory.find(name)
        if server is not None:
            self.router.ended(server)

    def make_context(self, picker: ServerPicker) -> ForwardContext:
        """Return what forwarded requests share."""
        return ForwardContext(
            clock=self.clock,
            rng=self.rng,
            follower=self.follower,
            picker=picker,
            upstream=self.upstream,
            dispatch=self.dispatch,
            forecast=StageForecast(self.dispatch, self.follower),
            budget=self.budgets.of,
            metrics=self.metrics,
            departure=self.departure,
            fetch_time=FetchTime(),
            quarantine=self.quarantine,
            notices=self.notices,
        )

    def make_follower(
        self, name: str, source: Source, take: Callable[[SourcePage, bool], None]
    ) -> SourceFollower:
        """Return a follower of a table, which follows it while that is this instance's to do."""
        reader_election = self.fleet.reader_election
        follower = SourceFollower(
            name,
            source,
            self.clock,
            self.metrics,
            take,
            self.settings.feed_wait_ms,
            reader_election.is_due,
            reader_election.idle_ms,
        )
        reader_election.wake_events.append(follower.wake)
        follower.on_unreachable = self.fleet.announce_reader
        return follower

    def make_batcher(self, service: str) -> Batcher:
        """Return a new batcher of a service."""
        return Batcher(
            service,
            self.follower,
            self.fleet.division,
            self.router,
            self.upstream,
            self.quarantine,
            self.budgets.of(service),
            self.clock,
            self.metrics,
            self.cold,
            self.limits,
            self.notices,
        )

    def pump(self) -> None:
        """Let every batcher look at the servers there are now."""
        for batcher in self.dispatch.batchers.values():
            batcher.pump()

    def is_fed(self) -> bool:
        """Tell whether news of the catalogue would come, from the store and from some peer."""
        known = self.membership.addressed()
        heard = not known or any(self.fleet.is_alive(one) for one in known)
        return heard and (self.is_answered() or self.fleet.reader_election.has_live_reader())

    def is_answered(self) -> bool:
        """Tell whether this instance follows the store and is answered."""
        return self.catalogue_source.is_answered and self.directory_source.is_answered

    @property
    def leaving(self) -> bool:
        """Tell whether the instance is about to end."""
        return self.departure.asked_at is not None

    @property
    def ready(self) -> bool:
        """Tell whether the instance can take requests."""
        return not self.leaving and self.follower.catalogue is not None and self.directory.ready

    def start(self) -> None:
        """Start the tasks, which the stack ends."""
        self.network.listen(self.me, self.fleet.serve, self.stack)
        loops: tuple[Callable[[], None], ...] = (
            self.catalogue_source.run,
            self.directory_source.run,
            self.member_reader.run,
            self.bar_keeper.run,
            self.keep_telling,
            self.keep_watching,
            self.fleet.run,
        )
        tasks = [gevent.spawn(keep_running, loop, self.clock) for loop in loops]
        self.stack.callback(self.fleet.close)
        self.stack.callback(gevent.killall, tasks, block=False)
        self.stack.callback(self.upstream.close)

    def keep_telling(self) -> None:
        """Tell those near that this instance follows the store for them, while it does."""
        while True:
            self.clock.sleep(READER_BEACON_MS)
            if self.fleet.reader_election.reading:
                self.fleet.announce_reader()

    def keep_watching(self) -> None:
        """Look which data centres can be reached, often where this instance judges that."""
        while True:
            judges = bool(self.fleet.coordinators.remote_candidates())
            self.clock.sleep(WATCH_MS if judges else WATCH_IDLE_MS)
            self.fleet.check_datacentres()

    def leave(self) -> None:
        """Tell the balancer and the peers that this instance is about to end."""
        self.departure.begin()
        self.fleet.leaving = self.fleet.ranking.leaving = True
        self.fleet.send_heartbeats()

    def close(self) -> None:
        """End every task."""
        self.stack.close()
