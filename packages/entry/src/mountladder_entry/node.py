# node.py -- An entry instance with its HTTP interface
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""An entry instance with its HTTP interface."""

from __future__ import annotations

from gevent.pywsgi import WSGIServer

from mountladder.clocks.clock import Clock
from mountladder.configuration.settings import Settings
from mountladder.engines.engines import Engines
from mountladder.membership.listener import listening_socket
from mountladder.membership.tcpnetwork import TcpNetwork
from mountladder.metrics.metrics import Metrics
from mountladder.requests.backend import Backend
from mountladder.runtime import Runtime
from mountladder.store.platform import Platform
from mountladder_entry.application import make_application
from mountladder_entry.limitedconnection import LimitedConnection
from mountladder_entry.relay import Relay
from mountladder_entry.weberrorlog import WebErrorLog

MAX_CONNECTIONS = 2_000
STOP_SECONDS = 0.5


class Node(Runtime):
    """An entry instance that callers, operators and peers can connect to.

    Args:
        settings: The settings.
        clock: The clock.
        platform: The platform's table, object store and list of instances.
        backend: Calls backend servers.
        metrics: Records metrics.
        seed: The seed of its random numbers, or None for a random one.
        engines: Reads engines and sends them orders, or None to send no orders.
    """

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        platform: Platform,
        backend: Backend,
        metrics: Metrics,
        seed: int | None = None,
        engines: Engines | None = None,
    ) -> None:
        network = TcpNetwork(settings.secret.encode())
        super().__init__(settings, clock, platform, backend, network, metrics, seed, None, engines)
        self.relay = Relay(self.membership, clock, metrics)
        self.stack.callback(self.relay.close)

    def start(self) -> None:
        """Open the listening sockets and start the tasks."""
        super().start()
        self.web = WSGIServer(
            listening_socket(self.settings.web),
            make_application(self),
            log=None,
            error_log=WebErrorLog(),
            handler_class=LimitedConnection,
            spawn=MAX_CONNECTIONS,
        )
        self.web.start()
        self.stack.callback(self.web.stop, STOP_SECONDS)
