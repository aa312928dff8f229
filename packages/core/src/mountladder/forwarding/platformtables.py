# platformtables.py -- What an instance reads from the platform's store
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""What an instance reads from the platform's store."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from mountladder.forwarding.catalogue import Catalogue
from mountladder.forwarding.serverrecord import ServerRecord
from mountladder.forwarding.source import Source
from mountladder.forwarding.sourcerow import SourceRow
from mountladder.quarantine.suspicionstore import SuspicionStore
from mountladder.store.instancelist import InstanceList


@dataclass(frozen=True, slots=True)
class PlatformTables:
    """What an instance reads from the platform's store, and how it is decoded.

    Attributes:
        catalogue: The table that holds the catalogue.
        servers: The table of backend servers.
        instances: The list of instances.
        bars: The requests that are barred.
        is_catalogue: Tells whether a key of the first table is the catalogue's.
        decode_catalogue: Reads a catalogue.
        decode_server: Reads an entry of a backend server.
        drained_datacentre: Returns the data centre that a key of the first table drains, or "".
    """

    catalogue: Source
    servers: Source
    instances: InstanceList
    bars: SuspicionStore
    is_catalogue: Callable[[str], bool]
    decode_catalogue: Callable[[bytes], Catalogue]
    decode_server: Callable[[SourceRow], ServerRecord]
    drained_datacentre: Callable[[str], str]
