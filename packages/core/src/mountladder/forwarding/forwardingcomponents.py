# forwardingcomponents.py -- The components of an instance that forwards requests, except HTTP
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The components of an instance that forwards requests, except HTTP."""

from __future__ import annotations

import random
import uuid
from collections.abc import Callable
from contextlib import ExitStack

from mountladder.admission.retrytimes import make_retry_times
from mountladder.admission.wiring import connect_admission
from mountladder.clocks.clock import Clock
from mountladder.continuation.continuations import Continuations
from mountladder.demand.demandexchange import DemandExchange
from mountladder.forwarding.batcher import Batcher
from mountladder.forwarding.cataloguefollower import CatalogueFollower
from mountladder.forwarding.coldchecks import ColdChecks
from mountladder.forwarding.coldservers import ColdServers
from mountladder.forwarding.connectionshare import ConnectionShare
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
from mountladder.forwarding.placementcoordinator import PlacementCoordinator
from mountladder.forwarding.platformtables import PlatformTables
from mountladder.forwarding.promptplacer import PromptPlacer
from mountladder.forwarding.ranking import prompts_topic
from mountladder.forwarding.retrybudgets import RetryBudgets
from mountladder.forwarding.serverpicker import ServerPicker
from mountladder.forwarding.shutdown import Shutdown
from mountladder.forwarding.source import Source
from mountladder.forwarding.sourcefollower import SourceFollower
from mountladder.forwarding.sourcepage import SourcePage
from mountladder.forwarding.stagedispatch import StageDispatch
from mountladder.forwarding.stageforecast import StageForecast
from mountladder.forwarding.upstream import Upstream
from mountladder.isolation.peerrelay import PeerRelay
from mountladder.isolation.reachchecks import ReachChecks
from mountladder.isolation.watchedupstream import WatchedUpstream
from mountladder.isolation.wiring import make_detector, make_relay
from mountladder.membership.instance import Instance
from mountladder.membership.membership import Membership
from mountladder.membership.network import Network
from mountladder.memory.crashwatch import watch_crashes
from mountladder.metrics.metrics import Metrics
from mountladder.notices.noticedispatcher import NoticeDispatcher
from mountladder.performance.speedexchange import SpeedExchange
from mountladder.performance.speedtable import SpeedTable
from mountladder.quarantine.presumedcrashes import PresumedCrashes
from mountladder.quarantine.presumedjudge import PresumedJudge
from mountladder.quarantine.quarantineservice import QuarantineService
from mountladder.quarantine.suspicionpersister import SuspicionPersister
from mountladder.results.usagehandover import UsageHandover
from mountladder.routing.costmodel import CostModel
from mountladder.routing.expectedcompletion import ExpectedCompletion
from mountladder.routing.router import Router
from mountladder.serverlimits.serverlimits import ServerLimits
from mountladder.store.position import Position
from mountladder.streams.startchecks import StartChecks
from mountladder.streams.streamorigins import StreamOrigins

# After three missed heartbeats a peer counts as unreachable, and stages move to another instance.
# With 250 ms that takes about as long as three stages.
HEARTBEAT_MS = 250.0
# Assumed extra cost of a call to another data centre: 0.5 ms latency each way, the rest a penalty
# for its price.
CROSS_DATACENTRE_MS = 3.0


class ForwardingComponents:
    """Creates and connects the components that forward requests, except HTTP.

    Args:
        settings: The settings.
        clock: The clock.
        tables: Access to the platform's tables.
        upstream: Sends calls to backend servers.
        network: Connects to the other instances.
        metrics: Receives metrics.
        peer_relay: Sends requests to other instances, or None if they cannot be sent any.
        seed: The seed of the random number generator, or None for a random one.
    """

    def __init__(
        self,
        settings: ForwardingSettings,
        clock: Clock,
        tables: PlatformTables,
        upstream: Upstream,
        network: Network,
        metrics: Metrics,
        peer_relay: PeerRelay | None = None,
        seed: int | None = None,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.tables = tables
        self.network = network
        self.metrics = metrics
        self.peer_relay = peer_relay
        self.stack = ExitStack()
        self.seed = seed
        self.rng = random.Random(seed)
        self.shutdown = Shutdown(clock, lambda: self.settings.grace_ms)
        self.me = Instance(
            settings.name,
            uuid.uuid4().hex[:12],
            settings.datacentre,
            settings.relay,
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

    def apply_settings(self, settings: ForwardingSettings) -> None:
        """Apply settings that were read again."""
        self.settings = settings

    def build(self, upstream: Upstream) -> None:
        """Create and connect the components of the request path."""
        clock, metrics = self.clock, self.metrics
        self.router = Router(
            clock,
            self.rng,
            CostModel(),
            ExpectedCompletion(),
            metrics,
            self.settings.datacentre,
            CROSS_DATACENTRE_MS,
        )
        coordinator, picker = self.build_placement()
        self.connections = ConnectionShare(self.follower, self.membership)
        upstream.connection_share = self.connections.of
        self.isolation = make_detector(self, upstream)
        self.upstream = upstream = WatchedUpstream(upstream, self.isolation)
        self.reach_checks = ReachChecks(self.directory, upstream.reaches, clock, self.rng)
        coordinator.verify = self.reach_checks.verify
        self.router.on_unreachable = self.reach_checks.record_unreachable
        self.router.on_demand = self.reach_checks.check_for
        self.build_quarantine(upstream)
        watch_crashes(self, coordinator.bytes)
        self.dispatch = StageDispatch(self.fleet, self.make_batcher, clock)
        self.admission = connect_admission(self, coordinator)
        self.handover = UsageHandover(
            self.fleet, self.dispatch, clock, metrics, self.reserves_results
        )
        self.demand = DemandExchange(self.fleet, self.dispatch, clock, lambda: self.settings)
        self.directory.listeners.append(self.pump_batchers)
        self.cold_checks = ColdChecks(self.directory, self.follower, self.cold, upstream, clock)
        self.cold_checks.on_checked = self.pump_batchers
        self.starts = StartChecks(self.directory, self.fleet.list_age, upstream, clock)
        self.origins = StreamOrigins(
            self.fleet,
            self.directory,
            self.starts,
            self.tables.version_store,
            self.tables.origin_store,
            clock,
        )
        self.continuations = Continuations(
            lambda: self.settings.continue_streams,
            self.follower,
            self.directory,
            self.router,
            upstream,
            self.notices.dispatch,
            clock,
        )
        self.forwarder = Forwarder(self.make_context(picker))
        self.build_followers()

    def build_placement(self) -> tuple[PlacementCoordinator, ServerPicker]:
        """Create and connect the components that choose servers."""
        clock = self.clock
        leadership = Leadership(self.fleet, clock)
        self.cold = ColdServers(self.directory, self.follower, leadership, clock)
        self.build_speeds()
        self.notices = NoticeDispatcher(
            self.fleet, self.directory, self.router, clock, self.metrics
        )
        self.limits = ServerLimits(self.notices.registry, leadership, clock)
        coordinator = PlacementCoordinator(
            self.directory, self.router, clock, self.follower, self.cold, self.limits
        )
        placer = PromptPlacer(self.fleet, coordinator, clock)
        picker = ServerPicker(self.directory, self.router, placer, self.cold, self.limits)
        return coordinator, picker

    def build_followers(self) -> None:
        """Create and connect the components that follow the platform's tables."""
        applier = PageApplier(
            self.tables,
            self.follower,
            self.directory,
            self.fleet.era_tracker,
            self.clock,
            self.metrics,
        )
        self.catalogue_source = self.make_follower(
            "catalogue", self.tables.catalogue, applier.apply_catalogue
        )
        self.directory_source = self.make_follower(
            "servers", self.tables.servers, applier.apply_servers
        )
        self.fleet.list_age.answered_at = lambda: self.directory_source.answered_at
        self.fleet.list_age.read_at = lambda: self.directory_source.current_at
        self.directory_source.on_reachable = self.directory.mark_store_reachable
        self.directory_source.on_unreachable = self.handle_store_lost
        self.origins.read_servers = lambda: self.directory_source.read_changes(
            self.directory.position
        )
        self.origins.version_record.have_servers_left = lambda since: self.have_servers_left(
            applier, since
        )
        claim = self.budgets.claim
        claim.all_answer = self.fleet.is_complete
        self.fleet.members_age_s, self.fleet.on_beacon = claim.members_age_s, claim.record_beacon
        self.member_reader = MemberReader(self.tables.instances, self.fleet, claim, self.clock)
        self.fleet.is_store_answering = self.follows_store
        self.follower.is_feed_live = self.is_feed_live

    def have_servers_left(self, applier: PageApplier, since: Position) -> bool:
        """Return whether any server has left the list since a position, as far as the store knows.

        A store that has forgotten its history meanwhile is no sign of it: with all instances, every
        stream would end that began before.
        """
        page = self.directory_source.changes_since(since, self.directory.position)
        return page is None or any(one.server is None for one in applier.decode_servers(page))

    def handle_store_lost(self) -> None:
        """Tell the reader group and the record of versions that the store has stopped answering."""
        self.fleet.announce_reader()
        self.origins.version_record.handle_loss()

    def build_speeds(self) -> None:
        """Create and connect the components that learn the speed of servers, if they are used."""
        table = None
        if self.settings.learn_speeds:
            table = SpeedTable(self.clock, self.metrics, self.cold.is_cold)
            self.router.learn_speeds(table)
            self.directory.listeners.append(
                lambda: table.drop_unlisted(self.directory.kept_names())
            )
        self.speed_exchange = SpeedExchange(self.fleet, table, self.clock, self.metrics)

    def build_quarantine(self, upstream: Upstream) -> None:
        """Create and connect the components that track which requests crash servers."""
        clock, listing = self.clock, DirectoryListing(self.directory)
        listing.is_current = self.is_list_current
        self.quarantine = QuarantineService(
            upstream.refuses,
            listing,
            self.fleet,
            lambda: self.settings.secret,
            self.clock,
            self.metrics,
        )
        self.directory.listeners.append(self.quarantine.detector.check_listing)
        registry, reader_election = self.quarantine.registry, self.fleet.reader_election
        registry.on_server_crashed = self.disable_server
        presumed = PresumedCrashes(
            self.quarantine, lambda service: self.fleet.coordinator(prompts_topic(service))
        )
        self.suspicion_persister, self.part_persister = (
            SuspicionPersister(
                store, suspects, PresumedJudge(suspects, listing, clock), reader_election, clock
            )
            for store, suspects in (
                (self.tables.suspicion_store, registry),
                (self.tables.part_store, self.quarantine.parts),
            )
        )
        presumed.on_write = self.suspicion_persister.queue_suspicion
        presumed.on_remove = self.suspicion_persister.queue_removal
        for persister in (self.suspicion_persister, self.part_persister):
            self.fleet.era_tracker.listeners.append(persister.rewrite_recent)
        self.quarantine.parts.position = self.fleet.ranking.position

    def disable_server(self, name: str) -> None:
        """Stop using a server that has crashed, whichever instance noticed it."""
        server = self.directory.find(name)
        if server is not None:
            self.router.mark_crashed(server)
        self.continuations.handle_crash(name)

    def make_context(self, picker: ServerPicker) -> ForwardContext:
        """Return the state that forwarded requests share."""
        return ForwardContext(
            clock=self.clock,
            rng=self.rng,
            follower=self.follower,
            picker=picker,
            upstream=self.upstream,
            dispatch=self.dispatch,
            forecast=StageForecast(
                self.dispatch, self.follower, self.admission, make_retry_times(self)
            ),
            budgets=self.budgets,
            metrics=self.metrics,
            shutdown=self.shutdown,
            fetch_time=FetchTime(),
            quarantine=self.quarantine,
            notices=self.notices,
            continuations=self.continuations,
            origins=self.origins,
            starts=self.starts,
            relay=make_relay(self),
        )

    def make_follower(
        self, name: str, source: Source, apply: Callable[[SourcePage, bool], None]
    ) -> SourceFollower:
        """Return a follower of a table, which reads while this instance is an elected reader."""
        reader_election = self.fleet.reader_election
        follower = SourceFollower(
            name,
            source,
            self.clock,
            self.metrics,
            apply,
            self.settings.feed_wait_ms,
            reader_election.is_due,
            reader_election.idle_ms,
        )
        reader_election.wake_events.append(follower.wake)
        follower.on_unreachable = self.fleet.announce_reader
        return follower

    def make_batcher(self, service: str) -> Batcher:
        """Return a new batcher of a service."""
        batcher = Batcher(
            service,
            self.follower,
            self.fleet.division,
            self.router,
            self.upstream,
            self.quarantine,
            self.budgets.of_pieces(service),
            self.clock,
            self.metrics,
            self.cold,
            self.limits,
            self.notices,
            lambda: self.settings.share_fairly and self.has_enough_servers(service),
            lambda: self.reserves_results(service),
        )
        batcher.inputs.release = self.dispatch.fetched_releases.send
        batcher.reservation.backlogs = self.dispatch.backlogs
        return batcher

    def reserves_results(self, service: str) -> bool:
        """Return whether memory for the results of a service is reserved and released early."""
        return self.settings.reserve_results and self.has_enough_servers(service)

    def has_enough_servers(self, service: str) -> bool:
        """Return whether a service has the servers from which on decisions under load apply."""
        return len(self.directory.available(service)) >= self.settings.load_min_servers

    def handle_isolation(self) -> None:
        """Hand over what this instance coordinates once it can reach no backend server."""
        self.fleet.set_isolated(self.isolation.isolated)
        if self.isolation.isolated:
            self.dispatch.reassign_local()

    def pump_batchers(self) -> None:
        """Have every batcher send the pieces that the current servers can accept."""
        for batcher in self.dispatch.batchers.values():
            batcher.pump()

    def is_feed_live(self) -> bool:
        """Return whether catalogue updates would reach this instance.

        That needs a live peer, unless no peer is known, and a store that answers here or at a peer.
        """
        known = self.membership.addressed()
        reachable = not known or any(self.fleet.is_alive(one) for one in known)
        return reachable and self.fleet.hears_store()

    def is_list_current(self) -> bool:
        """Return whether this instance reads the list of servers, or a peer follows the store."""
        has_reader = self.fleet.reader_election.has_live_reader()
        return self.directory_source.is_answered or has_reader

    def follows_store(self) -> bool:
        """Return whether this instance follows the store and the store answers."""
        return self.catalogue_source.is_answered and self.directory_source.is_answered
