# requestrelay.py -- Relays requests while this instance can reach no backend server
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Relays requests while this instance can reach no backend server."""

from __future__ import annotations

from mountladder.clocks.clock import Clock
from mountladder.forwarding.forwardanswer import ForwardAnswer
from mountladder.forwarding.forwardrequest import ForwardRequest
from mountladder.forwarding.forwardrun import ForwardRun
from mountladder.forwarding.retrybudgets import RetryBudgets
from mountladder.forwarding.retryrules import MIN_REMAINING_MS
from mountladder.forwarding.route import Route
from mountladder.isolation.isolationdetector import IsolationDetector
from mountladder.isolation.peerrelay import PeerRelay
from mountladder.isolation.relayedrun import RelayedRun
from mountladder.isolation.relaypeers import RelayPeers
from mountladder.metrics.metrics import Metrics


class RequestRelay:
    """Relays requests to other instances while this one can reach no backend server.

    Args:
        isolation: Detects whether this instance can reach a backend server.
        peers: Chooses the other instances.
        transport: Sends requests to them, or None if they cannot be sent any.
        budgets: The retry budgets of services.
        clock: The clock.
        metrics: Counts relayed requests.
    """

    def __init__(
        self,
        isolation: IsolationDetector,
        peers: RelayPeers,
        transport: PeerRelay | None,
        budgets: RetryBudgets,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.isolation = isolation
        self.peers = peers
        self.transport = transport
        self.budgets = budgets
        self.clock = clock
        self.metrics = metrics

    def is_needed(self) -> bool:
        """Return whether requests are to be relayed, and another instance can run them."""
        return (
            self.isolation.isolated and self.transport is not None and bool(self.peers.available())
        )

    def can_take_over(self, run: ForwardRun) -> bool:
        """Return whether a request that failed here is to be relayed.

        That holds if every attempt failed to connect to a server, because no server is reachable
        from here. Stages that have run are run again.
        """
        if not run.connect_failures or run.possible_runs or run.remaining_ms() < MIN_REMAINING_MS:
            return False
        return self.isolation.confirm() and self.is_needed()

    def take_over(self, run: ForwardRun) -> ForwardAnswer:
        """Relay a request that failed here; see run.

        The instance that runs it counts it for the retry budget.
        """
        self.budgets.of_requests(run.service).take_back()
        return self.run(run.request, run.route, may_have_run=run.may_have_run())

    def run(
        self, request: ForwardRequest, route: Route, may_have_run: bool = False
    ) -> ForwardAnswer:
        """Relay a request and return the answer.

        Args:
            request: The request.
            route: Its route.
            may_have_run: Whether stages of it have run here, so that it cannot be refused any more.

        Raises:
            MountladderError: No instance could run it, or it failed.
        """
        return RelayedRun(self, request, route, may_have_run).answer()
