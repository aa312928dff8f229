# serverstates.py -- The state of each backend server that an instance uses
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The state of each backend server that an instance uses."""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterable

from mountladder.clocks.clock import Clock
from mountladder.configuration.backendserver import BackendServer
from mountladder.metrics.metric import Metric
from mountladder.metrics.metrics import Metrics
from mountladder.performance.serverpace import ServerPace
from mountladder.performance.speedtable import SpeedTable
from mountladder.routing.serverstate import ServerState


class ServerStates:
    """The state of each backend server that an instance uses, by its name.

    Args:
        clock: The clock.
        rng: The source of randomness.
        metrics: Counts ejections.

    Attributes:
        states: The state of each server, by its name.
        peers: The number of other instances that send work to the same servers.
        backoff_until: When the last back-off that any server asked this instance for ends.
        speeds: Learns the lasting speed of each server, or None if it is not learnt.
        on_leaving: Called with the name of a server that announced that it is leaving.
        on_unreachable: Called with a server whose breaker opened as a connection to it failed.
        on_demand: Called with a service for which there is a request.
    """

    def __init__(self, clock: Clock, rng: random.Random, metrics: Metrics) -> None:
        self.clock = clock
        self.rng = rng
        self.metrics = metrics
        self.states: dict[str, ServerState] = {}
        self.peers = 0
        self.leaving_reported_at: dict[str, float] = {}
        self.backoff_until = 0.0
        self.speeds: SpeedTable | None = None
        self.on_leaving: Callable[[str], None] = lambda name: None
        self.on_unreachable: Callable[[ServerState], None] = lambda state: None
        self.on_demand: Callable[[str], None] = lambda service: None

    def set_peers(self, peers: int) -> None:
        """Set the number of other instances that send work to the same servers."""
        if peers != self.peers:
            self.peers = peers
            for state in self.states.values():
                state.peers = peers

    def learn_speeds(self, speeds: SpeedTable) -> None:
        """Learn and use the lasting speed of each server from now on."""
        self.speeds = speeds
        speeds.on_pace = self.set_pace

    def set_pace(self, pace: ServerPace) -> None:
        """Use a new entry of the speed table for a server whose state exists already."""
        state = self.states.get(pace.server)
        if state is not None:
            state.pace = pace

    def state(self, server: BackendServer) -> ServerState:
        """Return the state of a server; a server at a new address gets a new state."""
        state = self.states.get(server.name)
        if state is None or state.server.address != server.address:
            state = self.states[server.name] = ServerState(server, self.rng)
            state.peers = self.peers
            if self.speeds is not None:
                state.pace = self.speeds.pace_of(server)
            if server.name in self.leaving_reported_at:
                state.mark_leaving(self.leaving_reported_at.pop(server.name))
        elif state.server is not server:
            state.server = server
        return state

    def mark_leaving(self, name: str) -> None:
        """Stop using a server that a peer reported as leaving, whether it was used here or not."""
        self.leaving_reported_at[name] = self.clock.now()
        state = self.states.get(name)
        if state is not None:
            state.mark_leaving(self.clock.now())

    def back_off(self, server: BackendServer, for_ms: float) -> None:
        """Send a server nothing from this instance for a time, as it asked.

        Args:
            server: The server.
            for_ms: The length of the back-off, in milliseconds."""
        now = self.clock.now()
        self.state(server).back_off(for_ms, now)
        self.backoff_until = max(self.backoff_until, now + for_ms)

    def backoff_ms(self, servers: Iterable[BackendServer]) -> float:
        """Return how long it takes until the first of the servers ends its back-off, or 0.

        It is 0 if a server has not asked for a back-off, or if no servers are given.
        """
        now = self.clock.now()
        min_ms = math.inf
        for server in servers:
            backoff_ms = self.state(server).backoff_ms(now)
            if backoff_ms <= 0:
                return 0.0
            min_ms = min(min_ms, backoff_ms)
        return 0.0 if math.isinf(min_ms) else min_ms

    def backing_off(self, servers: Iterable[BackendServer]) -> list[BackendServer]:
        """Return those of the servers that have asked this instance to back off at present."""
        now = self.clock.now()
        if now >= self.backoff_until:
            return []
        return [one for one in servers if self.state(one).backoff_ms(now) > 0]

    def record_unreachable(self, state: ServerState, sent_at: float | None = None) -> bool:
        """Open the breaker of a server to which a connection failed; return whether it did.

        Args:
            state: The server.
            sent_at: When the call was sent, or None for now.
        """
        opened = state.breaker.trip(self.clock.now(), sent_at)
        if opened:
            self.on_unreachable(state)
        return opened

    def mark_crashed(self, server: BackendServer) -> None:
        """Eject a server that has crashed, so that no further request is sent there."""
        breaker = self.state(server).breaker
        now = self.clock.now()
        if breaker.allows(now):
            breaker.trip(now)
            self.metrics.count(Metric.EJECTED)
