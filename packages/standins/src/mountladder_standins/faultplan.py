# faultplan.py -- Injection of random faults into a fleet
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Injection of random faults into a fleet."""

from __future__ import annotations

import random

from mountladder_standins.faults import Faults
from mountladder_standins.localfleet import LocalFleet

SERVER_FAULTS = (
    Faults(fail=3),
    Faults(stall=True),
    Faults(cut_after=2),
    Faults(garbage=True),
    Faults(repeat_event=True),
    Faults(foreign=True),
    Faults(draining=True),
    Faults(lose_answers=2),
    Faults(slowness=10.0),
    Faults(down=True),
)
STORE_FAULTS = (
    Faults(down=True),
    Faults(slow_ms=400.0),
    Faults(lose_answers=3),
    Faults(late_ms=700.0),
    Faults(most_writes=5),
)
DATACENTRES = ("a", "b")


class FaultPlan:
    """Draws random faults and injects them into a fleet.

    Args:
        fleet: The fleet.
        rng: The random number generator.

    Attributes:
        actions: The names of the actions so far, in order.
    """

    def __init__(self, fleet: LocalFleet, rng: random.Random) -> None:
        self.fleet = fleet
        self.rng = rng
        self.actions: list[str] = []
        self.started = 0

    def step(self) -> None:
        """Inject a random fault, or repair some."""
        action = self.rng.choice(
            (
                self.break_server,
                self.repair_servers,
                self.break_store,
                self.repair_store,
                self.break_link,
                self.partition_datacentres,
                self.replace_instance,
            )
        )
        self.actions.append(action.__name__)
        action()

    def break_server(self) -> None:
        """Inject a fault into a backend server."""
        name = self.rng.choice(sorted(self.fleet.servers))
        self.fleet.servers[name].faults = self.rng.choice(SERVER_FAULTS)

    def repair_servers(self) -> None:
        """Remove the faults of every backend server."""
        for server in self.fleet.servers.values():
            server.faults = Faults()

    def break_store(self) -> None:
        """Inject a fault into the platform, for all instances."""
        self.fleet.standin.set_faults(self.rng.choice(STORE_FAULTS))

    def repair_store(self) -> None:
        """Remove the faults of the platform and of every instance's connection to it."""
        self.fleet.standin.set_faults(Faults())
        for name in self.fleet.runtimes:
            self.fleet.set_platform_faults(name, Faults())

    def break_link(self) -> None:
        """Inject a fault into one instance's connection to the platform."""
        name = self.rng.choice(sorted(self.fleet.runtimes))
        self.fleet.set_platform_faults(name, self.rng.choice(STORE_FAULTS))

    def partition_datacentres(self) -> None:
        """Partition the data centres from each other, or remove the partition."""
        self.fleet.network.cut_datacentres ^= {frozenset(DATACENTRES)}

    def replace_instance(self) -> None:
        """Kill an instance and start another of the same name."""
        name = self.rng.choice(sorted(self.fleet.runtimes))
        self.fleet.kill(name)
        self.fleet.start(name, name[0])

    def repair_all(self) -> None:
        """Remove all faults."""
        self.repair_servers()
        self.repair_store()
        self.fleet.network.cut_datacentres.clear()
