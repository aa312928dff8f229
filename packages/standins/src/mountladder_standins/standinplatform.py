# standinplatform.py -- In-memory stand-in of the platform
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""In-memory stand-in of the platform."""

from __future__ import annotations

from mountladder.clocks.clock import Clock
from mountladder.store.memoryinstancelist import MemoryInstanceList
from mountladder.store.memoryobjectstore import MemoryObjectStore
from mountladder.store.memorytable import MemoryTable
from mountladder.store.platform import Platform
from mountladder_standins.faults import Faults
from mountladder_standins.faultyinstancelist import FaultyInstanceList
from mountladder_standins.faultyobjectstore import FaultyObjectStore
from mountladder_standins.faultytable import FaultyTable


class StandinPlatform:
    """The platform's table, object store and instance list in memory, with injected faults.

    Args:
        clock: The clock.
        lag_ms: The delay until the list of instances shows a change.
    """

    def __init__(self, clock: Clock, lag_ms: float = 0.0) -> None:
        self.clock = clock
        self.memory = MemoryTable()
        self.table = FaultyTable(self.memory, clock)
        self.objects = FaultyObjectStore(MemoryObjectStore(), clock)
        self.instances = FaultyInstanceList(MemoryInstanceList(clock, lag_ms))

    def platform(self) -> Platform:
        """Return the services behind their interfaces."""
        return Platform(self.table, self.objects, self.instances)

    def view(self) -> Platform:
        """Return the services with separate faults, for one instance's connection to them."""
        table = FaultyTable(self.table, self.clock)
        objects = FaultyObjectStore(self.objects, self.clock)
        return Platform(table, objects, FaultyInstanceList(self.instances))

    def set_faults(self, faults: Faults) -> None:
        """Set the faults of every service."""
        self.table.faults = faults
        self.objects.faults = faults
        self.instances.faults = faults
