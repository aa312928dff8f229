# orders.py -- Reconciles the engines of a data centre with their desired models
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Reconciles the engines of a data centre with their desired models."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

from eliot import log_message

from mountladder.configuration.backendserver import BackendServer
from mountladder.configuration.follower import Follower
from mountladder.engines.engines import Engines
from mountladder.engines.enginestate import EngineState
from mountladder.engines.loads import Loads
from mountladder.engines.order import Order
from mountladder.engines.placement import engines_of, wanted_models
from mountladder.errors import LeaseLostError, OrderFencedError, StageError
from mountladder.metrics.metric import Metric
from mountladder.metrics.metrics import Metrics
from mountladder.store.lease import Lease

MAX_LOADING = 2
INTERVAL_PER_ENGINE_MS = 200.0
Models = tuple[tuple[str, str], ...]


class Orders:
    """Compares the models that engines serve with the desired ones, and orders corrections.

    Only the holder of the data centre's lease sends orders, each with the complete desired state
    and the holder's fencing number. The engines' states are read again each time, so that an order
    of a paused former holder that an engine accepted is detected and corrected. Only a few engines
    load at once, since the weight store is limited, and a model is never unloaded from the last
    engine that serves it.

    Args:
        datacentre: The data centre.
        follower: The configuration in force.
        engines: The engines.
        lease: The lease that entitles its holder to send orders.
        metrics: Counts orders.

    Attributes:
        loads: Which engines load models.
    """

    def __init__(
        self, datacentre: str, follower: Follower, engines: Engines, lease: Lease, metrics: Metrics
    ) -> None:
        self.datacentre = datacentre
        self.follower = follower
        self.engines = engines
        self.lease = lease
        self.metrics = metrics
        self.loads = Loads(lease.clock)
        self.last_orders: dict[str, Models] = {}
        self.next_reconcile_at = 0.0

    def step(self) -> None:
        """Renew or try to acquire the lease, and reconcile the engines while it is held.

        The interval grows with the number of engines, so that the holder's work stays bounded.
        """
        if not self.lease.renew_or_acquire():
            self.last_orders.clear()
            self.next_reconcile_at = 0.0
            return
        now = self.lease.clock.now()
        if now < self.next_reconcile_at:
            return
        try:
            self.reconcile()
        except LeaseLostError:
            log_message("orders-stopped", datacentre=self.datacentre, fence=self.lease.fence)

    def reconcile(self) -> None:
        """Send an order to each engine that needs one.

        Raises:
            LeaseLostError: The lease is about to expire, or an engine has a later holder's order.
        """
        configuration = self.follower.configuration
        servers = {one.name: one for one in engines_of(configuration, self.datacentre)}
        states = self.states(servers)
        self.next_reconcile_at = self.lease.clock.now() + INTERVAL_PER_ENGINE_MS * len(states)
        wanted = wanted_models(configuration, self.datacentre, states)
        serving = Counter(
            name
            for state in states.values()
            for name, _ in state.models
            if f"model/{name}" in configuration.documents
        )
        loading = self.loads.count(servers, states)
        for name in sorted(wanted):
            state = states[name]
            target = self.keep_last_replicas(state, wanted[name], serving)
            if not self.is_needed(state, target):
                continue
            if set(target) - set(state.models):
                if loading >= MAX_LOADING:
                    continue
                loading += 1
            self.send(servers[name], state, target)

    def is_needed(self, state: EngineState, target: Models) -> bool:
        """Return whether an engine needs an order.

        Each engine gets an order in every lease term, so that it refuses those of earlier holders.
        """
        if state.fence < self.lease.fence:
            return True
        if state.loading:
            return not set(target) <= set(state.models + state.loading)
        return target != state.models

    def states(self, servers: Mapping[str, BackendServer]) -> dict[str, EngineState]:
        """Return the states of the engines that can be reached, by name."""
        states: dict[str, EngineState] = {}
        for name, server in servers.items():
            try:
                states[name] = self.engines.state(server)
            except StageError as error:
                log_message("engine-unreachable", server=name, reason=error.detail)
        return states

    def keep_last_replicas(
        self, state: EngineState, target: Models, serving: Counter[str]
    ) -> Models:
        """Return a target that keeps each configured model that no other engine serves.

        Args:
            state: The engine's state.
            target: The desired models.
            serving: How many engines serve each configured model; reduced for those unloaded."""
        kept = dict(target)
        for model, version in state.models:
            if model in kept:
                continue
            if serving[model] == 1:
                kept[model] = version
            else:
                serving[model] -= 1
        return tuple(sorted(kept.items()))

    def send(self, server: BackendServer, state: EngineState, target: Models) -> None:
        """Send one order, and log it as a repair where the engine deviated from the last one.

        Raises:
            LeaseLostError: The lease is about to expire, or the engine has a later order."""
        self.lease.check()
        repaired = self.last_orders.get(server.name) == target
        event = "order-repaired" if repaired else "order-sent"
        fence = self.lease.fence
        log_message(event, server=server.name, found=state.models, wanted=target, fence=fence)
        self.metrics.count(Metric.ORDERS)
        if set(target) - set(state.models):
            self.loads.record_order(server.name)
        try:
            self.engines.order(server, Order(fence, target))
        except OrderFencedError:
            self.lease.holding = False
            raise LeaseLostError("an engine has an order of a later lease holder") from None
        except StageError as error:
            log_message("order-failed", server=server.name, reason=error.detail)
            return
        self.last_orders[server.name] = target
