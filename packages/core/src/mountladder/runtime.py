# runtime.py -- Wires and runs the parts of an entry instance, except HTTP
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Wires and runs the parts of an entry instance, except HTTP."""

from __future__ import annotations

import dataclasses
import random
import uuid
from contextlib import ExitStack

import gevent
from eliot import log_message
from gevent.event import Event

from mountladder.accounts.ledger import Ledger
from mountladder.claims.groupcommit import GroupCommit
from mountladder.claims.idempotency import Idempotency
from mountladder.claims.keyregistry import KeyRegistry
from mountladder.claims.submitter import Submitter
from mountladder.clocks.clock import Clock
from mountladder.configuration.changelog import ChangeLog
from mountladder.configuration.follower import Follower
from mountladder.configuration.settings import Settings
from mountladder.engines.engines import Engines
from mountladder.engines.orders import Orders
from mountladder.errors import MountladderError, StoreAmbiguousError, StoreUnavailableError
from mountladder.limits.admission import Admission
from mountladder.membership.instance import Instance
from mountladder.membership.membership import Membership
from mountladder.membership.network import Network
from mountladder.membership.peers import Peers
from mountladder.metrics.metric import Metric
from mountladder.metrics.metrics import Metrics
from mountladder.quarantine.quarantineservice import QuarantineService
from mountladder.requests.backend import Backend
from mountladder.requests.configuredlisting import ConfiguredListing
from mountladder.requests.gateway import Gateway
from mountladder.requests.runcontext import RunContext
from mountladder.requests.traceregistry import TraceRegistry
from mountladder.routing.costmodel import CostModel
from mountladder.routing.expectedcompletion import ExpectedCompletion
from mountladder.routing.policy import Policy
from mountladder.routing.router import Router
from mountladder.store.lease import Lease
from mountladder.store.platform import Platform
from mountladder.supervision import keep_running

# How often this instance announces itself in the platform's list of instances.
ANNOUNCE_INTERVAL_MS = 5_000.0
# How often a page of old claims is deleted, and its size in rows.
SWEEP_INTERVAL_MS = 10_000.0
SWEEP_PAGE = 200
# Min. pause between steps of following the configuration.
TICK_MS = 100.0
# By how much longer each rank waits than the one before until it reads the store itself.
RANK_DELAY_MS = 1_000.0
# How long an instance that cannot read the store waits for its peers before it is ready.
PEER_GRACE_MS = 1_500.0


class Runtime:
    """An entry instance without its HTTP interface.

    Args:
        settings: The settings.
        clock: The clock.
        platform: The platform's services.
        backend: Calls backend servers.
        network: Connects to the other instances.
        metrics: Receives the metrics.
        seed: The seed of its random numbers, or None for a random one.
        policy: The routing policy, or None for the one in the settings.
        engines: Reads the state of engines and sends them orders, or None to send none.
    """

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        platform: Platform,
        backend: Backend,
        network: Network,
        metrics: Metrics,
        seed: int | None = None,
        policy: Policy | None = None,
        engines: Engines | None = None,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.platform = platform
        self.network = network
        self.metrics = metrics
        self.stack = ExitStack()
        self.started = clock.now()
        self.stopping = Event()
        self.store_read = False
        self.me = Instance(
            settings.name, uuid.uuid4().hex[:12], settings.datacentre, settings.web, settings.peer
        )
        self.build(backend, random.Random(seed), policy)
        self.orders = self.make_orders(engines)

    def build(self, backend: Backend, rng: random.Random, policy: Policy | None) -> None:
        """Create and connect the components."""
        settings, clock, metrics = self.settings, self.clock, self.metrics
        table = self.platform.table
        self.follower = Follower(ChangeLog(table, self.platform.objects, clock), clock)
        self.membership = Membership(self.me, clock, settings.heartbeat_ms)
        self.peers = Peers(
            self.membership, self.follower, self.network, clock, metrics, settings.seeds
        )
        self.commits = GroupCommit(table, clock, metrics, settings.window_ms)
        self.idempotency = Idempotency(
            settings.name,
            self.me.incarnation,
            settings.secret.encode(),
            KeyRegistry(clock, settings.keep_ms),
            Submitter(self.commits, self.peers, clock),
            table,
            clock,
            metrics,
        )
        self.idempotency.alive = self.membership.is_alive
        cost_model = CostModel()
        routing_policy = policy or ExpectedCompletion(settings.drawn, settings.thrift)
        datacentre = settings.datacentre
        self.router = Router(
            clock, rng, cost_model, routing_policy, metrics, datacentre, settings.spill_ms
        )
        self.router.on_leaving = self.peers.report_leaving_server
        self.peers.on_leaving_server = self.router.mark_leaving
        self.ledger = Ledger(self.me.incarnation)
        quarantine = self.make_quarantine(backend)
        self.context = RunContext(
            clock,
            rng,
            self.follower,
            self.router,
            backend,
            cost_model,
            self.ledger,
            metrics,
            quarantine,
        )
        self.admission = Admission(clock, settings.most_running, settings.most_waiting)
        self.traces = TraceRegistry()
        self.gateway = Gateway(
            self.me.incarnation, self.context, self.admission, self.idempotency, self.traces
        )

    def make_quarantine(self, backend: Backend) -> QuarantineService:
        """Return the quarantine, which bars requests that crash servers."""
        return QuarantineService(
            backend.refuses,
            ConfiguredListing(),
            self.peers,
            lambda: self.settings.secret,
            self.clock,
            self.metrics,
        )

    def make_orders(self, engines: Engines | None) -> Orders | None:
        """Return the sender of orders to this data centre's engines, or None if it is disabled."""
        if engines is None or not self.settings.orders_ms:
            return None
        datacentre = self.settings.datacentre
        table = self.platform.table
        lease = Lease(f"orders/{datacentre}", self.me.incarnation, table, self.clock)
        return Orders(datacentre, self.follower, engines, lease, self.metrics)

    @property
    def ready(self) -> bool:
        """Return whether the instance can serve requests.

        An instance that could not read the store waits for its peers first, so that it does not
        serve an older revision than theirs.
        """
        if self.stopping.is_set() or not self.follower.ready:
            return False
        return self.store_read or self.clock.now() - self.started >= PEER_GRACE_MS

    def start(self) -> None:
        """Accept connections from peers and start the background tasks."""
        self.network.listen(self.me, self.peers.serve, self.stack)
        loops = (
            self.follow,
            self.peers.run,
            self.commits.run,
            self.announce,
            self.flush_cost,
            self.sweep,
            self.send_orders,
        )
        tasks = [gevent.spawn(keep_running, loop, self.clock, self.metrics) for loop in loops]
        self.stack.callback(gevent.killall, tasks)
        self.stack.callback(self.peers.close)
        log_message("started", instance=self.me.name, incarnation=self.me.incarnation)

    def follow(self) -> None:
        """Follow the configuration; does not return.

        The first live instance of a data centre polls the store at the configured interval. The
        others receive changes from it, and read the store themselves only after a time without
        confirmation that grows with their rank.
        """
        while True:
            max_age_ms = self.max_age_ms()
            if self.follower.age_ms() >= max_age_ms or not self.store_read:
                self.poll()
            self.router.set_peers(len(self.membership.live()) - 1)
            age = self.follower.age_ms()
            self.metrics.gauge(Metric.REVISION, self.follower.configuration.revision)
            self.metrics.gauge(Metric.CONFIGURATION_AGE_MS, min(age, 1e12))
            self.clock.sleep(max(TICK_MS, min(self.settings.poll_ms, max_age_ms - age)))

    def max_age_ms(self) -> float:
        """Return how old the configuration may be before this instance reads the store itself."""
        rank = self.membership.rank()
        if rank == 0:
            return self.settings.poll_ms
        fallback_ms = 2 * self.membership.interval_ms + rank * RANK_DELAY_MS
        return self.settings.poll_ms + fallback_ms

    def poll(self) -> None:
        """Read the store once."""
        if self.follower.poll():
            self.store_read = True
        else:
            self.metrics.count(Metric.STORE_ERRORS, "store_unavailable")

    def announce(self) -> None:
        """Announce this instance in the platform's list and read the list; does not return."""
        while True:
            try:
                self.platform.instances.announce(self.me)
                self.membership.apply_list(self.platform.instances.instances())
            except MountladderError as error:
                self.metrics.count(Metric.STORE_ERRORS, error.code.name.lower())
            min_window_ms = (
                1_000.0 * self.membership.claim_writers() / self.settings.most_transactions
            )
            self.commits.window_ms = max(self.settings.window_ms, min_window_ms)
            self.metrics.gauge(Metric.RUNNING, self.admission.total)
            self.metrics.gauge(Metric.WAITING, len(self.admission.waiting))
            self.clock.sleep(ANNOUNCE_INTERVAL_MS)

    def flush_cost(self) -> None:
        """Send the accumulated cost to the platform periodically; does not return."""
        while True:
            self.clock.sleep(self.settings.cost_ms)
            self.try_flush_cost()

    def try_flush_cost(self) -> None:
        """Send the accumulated cost; if that fails, the next flush includes it."""
        try:
            if self.ledger.flush(self.platform.table):
                self.metrics.count(Metric.COST_FLUSHES)
        except (StoreUnavailableError, StoreAmbiguousError) as error:
            self.metrics.count(Metric.STORE_ERRORS, error.code.name.lower())

    def sweep(self) -> None:
        """Delete old claims page by page, on the first live instance only; does not return."""
        after = ""
        while True:
            self.clock.sleep(SWEEP_INTERVAL_MS)
            if self.membership.rank() > 0:
                continue
            try:
                after = self.idempotency.sweep(after, self.settings.keep_ms, SWEEP_PAGE)
            except MountladderError as error:
                self.metrics.count(Metric.STORE_ERRORS, error.code.name.lower())

    def send_orders(self) -> None:
        """Reconcile the engines of this data centre with their wanted state; does not return."""
        while self.orders is not None:
            if self.ready:
                self.orders.step()
            self.clock.sleep(self.settings.orders_ms)
        self.stopping.wait()

    def stop(self) -> int:
        """Shut down gracefully: refuse new requests, finish running ones, then close everything.

        Returns:
            The number of requests that were aborted because shutdown_ms had passed.
        """
        self.stopping.set()
        self.admission.close()
        self.peers.leaving = True
        self.peers.send_heartbeats()
        self.try_announce_leaving()
        deadline = self.clock.now() + self.settings.shutdown_ms
        while (self.admission.total or self.idempotency.tasks) and self.clock.now() < deadline:
            self.clock.sleep(TICK_MS / 4)
        if self.orders is not None and self.orders.lease.holding:
            self.orders.lease.release()
        aborted = self.admission.total
        self.try_flush_cost()
        self.stack.close()
        log_message("stopped", instance=self.me.name, aborted=aborted)
        return aborted

    def try_announce_leaving(self) -> None:
        """Announce to the platform that this instance is leaving."""
        try:
            self.platform.instances.announce(dataclasses.replace(self.me, leaving=True))
        except MountladderError as error:
            self.metrics.count(Metric.STORE_ERRORS, error.code.name.lower())
