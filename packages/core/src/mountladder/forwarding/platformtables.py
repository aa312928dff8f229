# platformtables.py -- The tables of the platform's store that an instance reads, and their decoders
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The tables of the platform's store that an instance reads, and their decoders."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from mountladder.forwarding.catalogue import Catalogue
from mountladder.forwarding.serverrecord import ServerRecord
from mountladder.forwarding.source import Source
from mountladder.forwarding.sourcerow import SourceRow
from mountladder.quarantine.suspicionstore import SuspicionStore
from mountladder.store.instancelist import InstanceList
from mountladder.streams.originstore import OriginStore
from mountladder.streams.versionstore import VersionStore


@dataclass(frozen=True, slots=True)
class PlatformTables:
    """The tables of the platform's store that an instance reads, and their decoders.

    Attributes:
        catalogue: The table that holds the catalogue.
        servers: The table of backend servers.
        instances: The list of instances.
        suspicion_store: The store of barred requests and strong suspects.
        part_store: The same of prompt parts.
        version_store: The store of the software versions that serve each service.
        origin_store: The store of the origins of streams.
        is_catalogue: Returns whether a key of the first table is the catalogue's.
        decode_catalogue: Decodes a catalogue; raises BadRowError if it is malformed.
        decode_server: Decodes an entry of a backend server; raises BadRowError if it is malformed.
        drained_datacentre: Returns the data centre that a row with this key of the first table
            drains, or "" for a row of another kind.
    """

    catalogue: Source
    servers: Source
    instances: InstanceList
    suspicion_store: SuspicionStore
    part_store: SuspicionStore
    version_store: VersionStore
    origin_store: OriginStore
    is_catalogue: Callable[[str], bool]
    decode_catalogue: Callable[[bytes], Catalogue]
    decode_server: Callable[[SourceRow], ServerRecord]
    drained_datacentre: Callable[[str], str]
