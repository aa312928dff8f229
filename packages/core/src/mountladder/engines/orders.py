# orders.py -- Keeping the engines of a data centre at their wanted state
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Keeping the engines of a data centre at their wanted state."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

from eliot import log_message

from mountladder.configuration.backendserver import BackendServer
from mountladder.configuration.follower import Follower
from mountladder.engines.engines import Engines
from mountladder.engines.enginestate import EngineState
from mountladder.engines.order import Order
from mountladder.engines.placement import engines_of, wanted_models
from mountladder.errors import LeaseLostError, OrderFencedError, StageError
from mountladder.metrics.metric import Metric
from mountladder.metrics.metrics import Metrics
from mountladder.store.lease import Lease

MOST_LOADING = 2
PER_ENGINE_MS = 200.0
Models = tuple[tuple[str, str], ...]


class Orders:
    """Compares what the engines serve with what they are to serve, and mends the difference.

    Only the holder of the data centre's lease sends orders, each a whole wanted state under its
    fencing number. What the engines serve is read anew each time, so that an order of a paused
    holder that an engine took all the same is noticed and mended. Few engines load at once, since
    the weight store is limited, and a model is never taken from the last engine that serves it.

    Args:
        datacentre: The data centre.
        follower: The configuration in force.
        engines: The engines.
        lease: The lease on ordering them.
        metrics: Where orders are counted.
    """

    def __init__(
        self,
        datacentre: str,
        follower: Follower,
        engines: Engines,
        lease: Lease,
        metrics: Metrics,
    ) -> None:
        self.datacentre = datacentre
        self.follower = follower
        self.engines = engines
        self.lease = lease
        self.metrics = metrics
        self.ordered: dict[str, Models] = {}
        self.next_at = 0.0

    def step(self) -> None:
        """Renew or try to take the lease, and where it is held mend what differs.

        The engines are read the more seldom the more there are, so that the holder's work stays
        bounded.
        """
        if not self.lease.renew_or_acquire():
            self.ordered.clear()
            self.next_at = 0.0
            return
        now = self.lease.clock.now()
        if now < self.next_at:
            return
        try:
            self.mend()
        except LeaseLostError:
            log_message("orders-stopped", datacentre=self.datacentre, fence=self.lease.fence)

    def mend(self) -> None:
        """Send the orders that are needed.

        Raises:
            LeaseLostError: The lease came too near its end meanwhile.
        """
        configuration = self.follower.configuration
        servers = {one.name: one for one in engines_of(configuration, self.datacentre)}
        states = self.states(servers)
        self.next_at = self.lease.clock.now() + PER_ENGINE_MS * len(states)
        wanted = wanted_models(configuration, self.datacentre, states)
        serving = Counter(
            name
            for state in states.values()
            for name, _ in state.models
            if f"model/{name}" in configuration.documents
        )
        loading = sum(bool(state.loading) for state in states.values())
        for name in sorted(wanted):
            state = states[name]
            target = self.without_loss(state, wanted[name], serving)
            if not self.is_needed(state, target):
                continue
            if set(target) - set(state.models):
                if loading >= MOST_LOADING:
                    continue
                loading += 1
            self.send(servers[name], state, target)

    def is_needed(self, state: EngineState, target: Models) -> bool:
        """Tell whether an engine needs an order.

        Each engine gets one in every term, so that it refuses those of earlier holders.
        """
        if state.fence < self.lease.fence:
            return True
        if state.loading:
            return not set(target) <= set(state.models + state.loading)
        return target != state.models

    def states(self, servers: Mapping[str, BackendServer]) -> dict[str, EngineState]:
        """Return what those engines serve that can be reached."""
        states: dict[str, EngineState] = {}
        for name, server in servers.items():
            try:
                states[name] = self.engines.state(server)
            except StageError as error:
                log_message("engine-unreachable", server=name, reason=error.detail)
        return states

    def without_loss(self, state: EngineState, target: Models, serving: Counter[str]) -> Models:
        """Return a target that keeps each configured model that no other engine serves."""
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
        """Send one order and log why."""
        self.lease.check()
        repaired = self.ordered.get(server.name) == target
        event = "order-repaired" if repaired else "order-sent"
        fence = self.lease.fence
        log_message(event, server=server.name, found=state.models, wanted=target, fence=fence)
        self.metrics.count(Metric.ORDERS)
        try:
            self.engines.order(server, Order(fence, target))
        except OrderFencedError:
            self.lease.holding = False
            raise LeaseLostError("an engine knows of a later holder") from None
        except StageError as error:
            log_message("order-failed", server=server.name, reason=error.detail)
            return
        self.ordered[server.name] = target
