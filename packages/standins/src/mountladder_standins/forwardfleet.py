# forwardfleet.py -- Instances that forward requests, within this process
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Instances that forward requests, within this process."""

from __future__ import annotations

import json

from mountladder.clocks.virtualclock import VirtualClock
from mountladder.errors import BadRowError
from mountladder.forwarding.catalogue import Catalogue
from mountladder.forwarding.forwardanswer import ForwardAnswer
from mountladder.forwarding.forwardinginstance import ForwardingInstance
from mountladder.forwarding.forwardingsettings import ForwardingSettings
from mountladder.forwarding.forwardrequest import ForwardRequest
from mountladder.forwarding.memorysource import MemorySource
from mountladder.forwarding.platformtables import PlatformTables
from mountladder.forwarding.serverrecord import ServerRecord, listed_server
from mountladder.forwarding.sourcerow import SourceRow
from mountladder.membership.instance import Instance
from mountladder.membership.memorynetwork import MemoryNetwork
from mountladder.metrics.memorymetrics import MemoryMetrics
from mountladder.quarantine.memorysuspicionstore import MemorySuspicionStore
from mountladder.quarantine.suspicion import Suspicion
from mountladder.store.memoryinstancelist import MemoryInstanceList
from mountladder_standins.localupstream import LocalUpstream

CATALOGUE = "catalogue"
DRAIN = "drain/"
RETRY_RATIO = 0.2
RETRY_WINDOW_S = 10.0
RETRY_RESERVE = 20.0
GRACE_S = 8.0
DRAIN_MS = 2_000.0


class ForwardFleet:
    """Instances on virtual time, before stand-in servers and the in-memory twins of the platform.

    Args:
        clock: The clock.

    Attributes:
        instances: The instances by name; a name starts with its data centre.
        catalogues: Every catalogue that was ever written, by version.
        cores: How many processor cores an instance has, where it is not one.
        sequences: How often each server's entry was written.
    """

    def __init__(self, clock: VirtualClock) -> None:
        self.clock = clock
        self.network = MemoryNetwork(clock)
        self.upstream = LocalUpstream(clock)
        self.catalogue = MemorySource(clock)
        self.servers = MemorySource(clock)
        self.listed = MemoryInstanceList(clock, forget_ms=float("inf"))
        self.bars = MemorySuspicionStore()
        self.catalogues: dict[int, Catalogue] = {}
        self.instances: dict[str, ForwardingInstance] = {}
        self.cores: dict[str, float] = {}
        self.sequences: dict[str, int] = {}
        self.copied_bars: dict[str, Suspicion] = {}
        self.copied_instances: dict[str, list[tuple[float, Instance]]] = {}

    def configure(self, catalogue: Catalogue) -> None:
        """Write a catalogue, as the operator does."""
        self.catalogues[catalogue.version] = catalogue
        self.catalogue.put(CATALOGUE, str(catalogue.version).encode())

    def decode(self, encoded: bytes) -> Catalogue:
        """Read a catalogue."""
        try:
            return self.catalogues[int(encoded)]
        except (ValueError, KeyError) as error:
            raise BadRowError("no such catalogue") from error

    def add_server(
        self,
        name: str,
        service: str,
        datacentre: str,
        draining: bool = False,
        born: int = 0,
        cold_ms: float = 0.0,
    ) -> None:
        """List a server, or list it anew."""
        self.sequences[name] = self.sequences.get(name, 0) + 1
        value = [service, datacentre, draining, born, self.sequences[name], cold_ms]
        self.servers.put(name, json.dumps(value).encode())

    def decode_server(self, row: SourceRow) -> ServerRecord:
        """Read an entry of a server."""
        if row.value is None:
            return ServerRecord(row.key, row.position)
        try:
            service, datacentre, draining, *rest = json.loads(row.value)
        except ValueError as error:
            raise BadRowError("no such entry") from error
        born, sequence, cold_ms = rest if rest else (0, 0, 0.0)
        server = listed_server(row.key, service, row.key, datacentre, 8, draining, born)
        return ServerRecord(row.key, row.position, service, server, born, sequence, cold_ms)

    def drain(self, datacentre: str) -> None:
        """Ask that the servers of a data centre get nothing, as the operator does."""
        self.catalogue.put(DRAIN + datacentre, b"{}")

    def take_back(self, datacentre: str) -> None:
        """Ask no more that the servers of a data centre get nothing."""
        self.catalogue.put(DRAIN + datacentre, None)

    def keep_copy(self) -> None:
        """Have the store keep a copy of all that it holds."""
        for source in (self.catalogue, self.servers):
            source.copy()
        self.copied_bars = dict(self.bars.rows)
        self.copied_instances = {name: list(one) for name, one in self.listed.history.items()}

    def come_back_older(self) -> None:
        """Have the store come back from the copy, with all that was written since gone."""
        self.bars.rows = dict(self.copied_bars)
        self.listed.history = {name: list(one) for name, one in self.copied_instances.items()}
        for source in (self.catalogue, self.servers):
            source.restore_copy()

    def start(self, name: str) -> ForwardingInstance:
        """Start an instance, anew where it ran before."""
        settings = ForwardingSettings(
            name=name,
            datacentre=name.partition("-")[0],
            callers="",
            ready="",
            peer=name,
            peer_listen=name,
            metrics="",
            store="",
            secret="",
            seeds=tuple(one for one in self.instances if one != name),
            retry_ratio=RETRY_RATIO,
            retry_window_s=RETRY_WINDOW_S,
            retry_reserve=RETRY_RESERVE,
            grace_s=GRACE_S,
            drain_ms=DRAIN_MS,
            core_share=1.0,
            core_speed=self.cores.get(name, 1.0),
        )
        tables = PlatformTables(
            catalogue=self.catalogue,
            servers=self.servers,
            instances=self.listed,
            bars=self.bars,
            is_catalogue=lambda key: key == CATALOGUE,
            decode_catalogue=self.decode,
            decode_server=self.decode_server,
            drained_datacentre=lambda key: (
                key.removeprefix(DRAIN) if key.startswith(DRAIN) else ""
            ),
        )
        instance = ForwardingInstance(
            settings, self.clock, tables, self.upstream, self.network, MemoryMetrics(), seed=1
        )
        self.instances[name] = instance
        instance.start()
        return instance

    def send(self, name: str, request: ForwardRequest) -> ForwardAnswer:
        """Have an instance serve a request."""
        return self.instances[name].forwarder.serve(request)

    def stop(self) -> None:
        """End every instance."""
        for instance in self.instances.values():
            instance.close()
