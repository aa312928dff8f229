# forwardfleet.py -- Forwarding instances with in-memory servers and platform, in one process
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Forwarding instances with in-memory servers and platform, in one process."""

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
from mountladder.streams.memoryoriginstore import MemoryOriginStore
from mountladder.streams.memoryversionstore import MemoryVersionStore
from mountladder.streams.originbatch import OriginBatch
from mountladder.streams.storedversions import StoredVersions
from mountladder_standins.localpeerrelay import LocalPeerRelay
from mountladder_standins.localupstream import LocalUpstream
from mountladder_standins.partitionedupstream import PartitionedUpstream
from mountladder_standins.serverpartition import ServerPartition

CATALOGUE = "catalogue"
DRAIN = "drain/"
RETRY_RATIO = 0.2
RETRY_WINDOW_S = 10.0
RETRY_RESERVE = 20.0
GRACE_S = 8.0
DRAIN_MS = 2_000.0


class ForwardFleet:
    """Forwarding instances on virtual time, with in-memory backend servers and platform.

    Args:
        clock: The clock.

    Attributes:
        instances: The instances by name; a name begins with its data centre and a hyphen.
        catalogues: Every catalogue that was written, by version.
        cores: How many processor cores an instance has, by its name; 1 for those not in it.
        switches: Settings that switch parts off, for the instances started from now on.
        sequences: How often each server's entry was written, by the server's name.
        partitions: How instances are partitioned from all backend servers, by their names.
        relayed: The requests that an instance ran for another one: the names of both, and the id.
        broken_relays: The names of instances whose answers to relayed requests are lost.
    """

    def __init__(self, clock: VirtualClock) -> None:
        self.clock = clock
        self.network = MemoryNetwork(clock)
        self.upstream = LocalUpstream(clock)
        self.catalogue = MemorySource(clock)
        self.servers = MemorySource(clock)
        self.instance_list = MemoryInstanceList(clock, forget_ms=float("inf"))
        self.suspicion_store = MemorySuspicionStore()
        self.part_store = MemorySuspicionStore()
        self.version_store = MemoryVersionStore(clock)
        self.origin_store = MemoryOriginStore()
        self.catalogues: dict[int, Catalogue] = {}
        self.instances: dict[str, ForwardingInstance] = {}
        self.cores: dict[str, float] = {}
        self.switches: dict[str, bool] = {}
        self.sequences: dict[str, int] = {}
        self.partitions: dict[str, ServerPartition] = {}
        self.relayed: list[tuple[str, str, str]] = []
        self.broken_relays: set[str] = set()
        self.saved_suspicions: dict[str, Suspicion] = {}
        self.saved_parts: dict[str, Suspicion] = {}
        self.saved_versions = StoredVersions()
        self.saved_origins: dict[str, OriginBatch] = {}
        self.saved_instances: dict[str, list[tuple[float, Instance]]] = {}

    def configure(self, catalogue: Catalogue) -> None:
        """Write a catalogue to the platform's table, as an operator does."""
        self.catalogues[catalogue.version] = catalogue
        self.catalogue.put(CATALOGUE, str(catalogue.version).encode())

    def decode(self, encoded: bytes) -> Catalogue:
        """Return the catalogue for the value of a row."""
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
        version: str = "",
    ) -> None:
        """Write the entry of a server, new or again.

        Args:
            name: The server's name.
            service: The service that it serves.
            datacentre: Its data centre.
            draining: Whether it is to get no new requests.
            born: When it started, as its entry says.
            cold_ms: For how long it is still cold, in milliseconds.
            version: The version of its software; unknown if empty.
        """
        self.sequences[name] = self.sequences.get(name, 0) + 1
        value = [service, datacentre, draining, born, self.sequences[name], cold_ms, version]
        self.servers.put(name, json.dumps(value).encode())

    def decode_server(self, row: SourceRow) -> ServerRecord:
        """Return the server record for a row; without a server if the row was deleted."""
        if row.value is None:
            return ServerRecord(row.key, row.position)
        try:
            service, datacentre, draining, *rest = json.loads(row.value)
        except ValueError as error:
            raise BadRowError("no such entry") from error
        born, sequence, cold_ms, version = rest if rest else (0, 0, 0.0, "")
        server = listed_server(row.key, service, row.key, datacentre, 8, draining, born, version)
        return ServerRecord(row.key, row.position, service, server, born, sequence, cold_ms)

    def drain(self, datacentre: str) -> None:
        """Drain a data centre, as an operator does: its servers get no new requests."""
        self.catalogue.put(DRAIN + datacentre, b"{}")

    def undrain(self, datacentre: str) -> None:
        """Undo the drain of a data centre."""
        self.catalogue.put(DRAIN + datacentre, None)

    def save_copy(self) -> None:
        """Save a copy of all that the store holds."""
        for source in (self.catalogue, self.servers):
            source.copy()
        self.saved_suspicions = dict(self.suspicion_store.rows)
        self.saved_parts = dict(self.part_store.rows)
        versions = self.version_store
        self.saved_versions = StoredVersions(
            dict(versions.rows), versions.era, versions.confirmed_era, versions.confirmed_version
        )
        self.saved_origins = dict(self.origin_store.rows)
        self.saved_instances = {name: list(one) for name, one in self.instance_list.history.items()}

    def restore_copy(self) -> None:
        """Restore the store from the saved copy, which loses all later writes."""
        self.suspicion_store.rows = dict(self.saved_suspicions)
        self.part_store.rows = dict(self.saved_parts)
        self.version_store.rows = dict(self.saved_versions.versions)
        self.version_store.confirmed_era = self.saved_versions.confirmed_era
        self.version_store.confirmed_version = self.saved_versions.confirmed_version
        self.version_store.era += 1
        self.origin_store.rows = dict(self.saved_origins)
        self.instance_list.history = {name: list(one) for name, one in self.saved_instances.items()}
        for source in (self.catalogue, self.servers):
            source.restore_copy()

    def settings(self, name: str) -> ForwardingSettings:
        """Return the settings of an instance."""
        return ForwardingSettings(
            name=name,
            datacentre=name.partition("-")[0],
            callers="",
            ready="",
            peer=name,
            peer_listen=name,
            metrics="",
            relay=name,
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
            **self.switches,
        )

    def start(self, name: str) -> ForwardingInstance:
        """Start an instance, or start it again with a new incarnation."""
        tables = PlatformTables(
            catalogue=self.catalogue,
            servers=self.servers,
            instances=self.instance_list,
            suspicion_store=self.suspicion_store,
            part_store=self.part_store,
            version_store=self.version_store,
            origin_store=self.origin_store,
            is_catalogue=lambda key: key == CATALOGUE,
            decode_catalogue=self.decode,
            decode_server=self.decode_server,
            drained_datacentre=lambda key: (
                key.removeprefix(DRAIN) if key.startswith(DRAIN) else ""
            ),
        )
        upstream = PartitionedUpstream(self.upstream, lambda: self.partitions.get(name), self.clock)
        instance = ForwardingInstance(
            self.settings(name),
            self.clock,
            tables,
            upstream,
            self.network,
            MemoryMetrics(),
            LocalPeerRelay(self, name),
            seed=1,
        )
        self.instances[name] = instance
        instance.start()
        return instance

    def send(self, name: str, request: ForwardRequest) -> ForwardAnswer:
        """Send a request to an instance and return its answer."""
        return self.instances[name].forwarder.serve(request)

    def stop(self) -> None:
        """Close every instance."""
        for instance in self.instances.values():
            instance.close()
