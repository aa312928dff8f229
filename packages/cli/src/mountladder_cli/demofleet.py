# demofleet.py -- Instances, a platform stand-in and server stand-ins in one process
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Instances, a platform stand-in and server stand-ins in one process."""

from __future__ import annotations

import dataclasses
import itertools
import json
from collections.abc import Sequence
from contextlib import ExitStack

from mountladder.clocks.clock import Clock
from mountladder.configuration.document import Document
from mountladder.configuration.settings import Settings
from mountladder.metrics.memorymetrics import MemoryMetrics
from mountladder_cli import porcelain
from mountladder_entry.httpbackend import HttpBackend
from mountladder_entry.httpengines import HttpEngines
from mountladder_entry.node import Node
from mountladder_entry.platform import http_platform
from mountladder_standins.listening import free_address, listen
from mountladder_standins.platformapp import platform_app
from mountladder_standins.serverapp import server_app
from mountladder_standins.speeds import Speeds
from mountladder_standins.standinloader import StandinLoader
from mountladder_standins.standinplatform import StandinPlatform
from mountladder_standins.standinserver import StandinServer
from mountladder_standins.weightstore import WeightStore

LOOPBACK = "127.0.0.1:0"
SECRET = "a secret for demonstrations only"
INSTANCES = (("a", 1), ("a", 2), ("b", 1), ("b", 2))
OLD_ACCELERATOR_FACTOR = 3.0
DOWNLOAD_MS = 200.0
READY_TIMEOUT_MS = 5_000.0


class DemoFleet:
    """Instances in several data centres, with stand-ins of the platform and of backend servers.

    Args:
        clock: The clock.
        stack: Stops everything that was started when it closes.
        instances: The data centre and number of each instance; by default two instances in each of
            two data centres.
    """

    def __init__(
        self,
        clock: Clock,
        stack: ExitStack,
        instances: Sequence[tuple[str, int]] = INSTANCES,
    ) -> None:
        self.clock = clock
        self.stack = stack
        self.standin = StandinPlatform(clock)
        self.base = "http://" + listen(platform_app(self.standin), LOOPBACK, stack)
        self.platform = http_platform(self.base, clock, stack)
        self.weights = WeightStore(clock, DOWNLOAD_MS)
        self.standins: dict[str, StandinServer] = {}
        self.nodes: list[Node] = []
        for datacentre, number in instances:
            self.start(f"{datacentre}-{number}", datacentre)

    def start(self, name: str, datacentre: str) -> Node:
        """Start an instance."""
        settings = Settings(
            name=name,
            datacentre=datacentre,
            web=free_address(),
            peer=free_address(),
            platform=self.base,
            secret=SECRET,
            seeds=tuple(node.settings.peer for node in self.nodes[:2]),
            heartbeat_ms=200.0,
            poll_ms=200.0,
            shutdown_ms=2_000.0,
            orders_ms=200.0,
        )
        backend = HttpBackend(self.clock)
        self.stack.callback(backend.close)
        platform = http_platform(self.base, self.clock, self.stack)
        engines = HttpEngines(self.clock)
        self.stack.callback(engines.close)
        node = Node(
            settings,
            self.clock,
            platform,
            backend,
            MemoryMetrics(),
            len(self.nodes),
            engines,
        )
        node.start()
        self.stack.callback(node.stop)
        self.nodes.append(node)
        return node

    def wait_ready(self) -> bool:
        """Wait until every instance is ready, at most READY_TIMEOUT_MS; return whether all are."""
        until = self.clock.now() + READY_TIMEOUT_MS
        while self.clock.now() < until and not all(node.ready for node in self.nodes):
            self.clock.sleep(20.0)
        return all(node.ready for node in self.nodes)

    def start_servers(self, documents: Sequence[Document]) -> tuple[Document, ...]:
        """Start a stand-in of each backend server; return the documents with their addresses."""
        return tuple(self.start_server(one) if one.kind == "server" else one for one in documents)

    def start_server(self, server: Document) -> Document:
        """Start a stand-in of a backend server; return the server with the stand-in's address."""
        speeds = Speeds(
            OLD_ACCELERATOR_FACTOR if server.accelerator == "old" else 1.0, server.slots
        )
        standin = self.standins[server.name] = StandinServer(server.name, self.clock, speeds)
        if server.serves == "engine" and server.models:
            standin.loader = StandinLoader(self.weights, dict.fromkeys(server.models, "1"))
        address = listen(server_app(standin), LOOPBACK, self.stack)
        return dataclasses.replace(server, address=address)

    def send(
        self,
        pipeline: str,
        token: str,
        input_: object,
        to: int = 0,
        key: str = "",
        deadline_ms: float | None = None,
    ) -> dict[str, object]:
        """Send a request to one of the instances and return its answer."""
        web = self.nodes[to % len(self.nodes)].settings.web
        pieces = porcelain.request(web, pipeline, token, input_, deadline_ms, key, stream=False)
        return json.loads(b"".join(pieces))

    def engines_serving(self, model: str) -> list[str]:
        """Return the stand-in engines that have a model loaded, by name."""
        return sorted(
            name
            for name, one in self.standins.items()
            if one.loader is not None and model in one.loader.models
        )

    def count_runs(self, work: str) -> int:
        """Return how many calls of a kind of work all stand-ins began."""
        ran = itertools.chain.from_iterable(one.ran for one in self.standins.values())
        return sum(one.work == work for one in ran)
