# faultplan.py -- Faults drawn at random
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Faults drawn at random."""

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
    """Draws faults and brings them about in a fleet.

    Args:
        fleet: The fleet.
        rng: The source of chance.

    Attributes:
        kinds: What was brought about, in order.
    """

    def __init__(self, fleet: LocalFleet, rng: random.Random) -> None:
        self.fleet = fleet
        self.rng = rng
        self.kinds: list[str] = []
        self.started = 0

    def step(self) -> None:
        """Bring about one fault, or mend one."""
        act = self.rng.choice(
            (
                self.break_server,
                self.mend_servers,
                self.break_store,
                self.mend_store,
                self.cut_link,
                self.cut_datacentres,
                self.replace_instance,
            )
        )
        self.kinds.append(act.__name__)
        act()

    def break_server(self) -> None:
        """Give a backend server a fault."""
        name = self.rng.choice(sorted(self.fleet.servers))
        self.fleet.servers[name].faults = self.rng.choice(SERVER_FAULTS)

    def mend_servers(self) -> None:
        """Mend every backend server."""
        for server in self.fleet.servers.values():
            server.faults = Faults()

    def break_store(self) -> None:
        """Give the platform a fault."""
        self.fleet.standin.set_faults(self.rng.choice(STORE_FAULTS))

    def mend_store(self) -> None:
        """Mend the platform and every instance's way to it."""
        self.fleet.standin.set_faults(Faults())
        for name in self.fleet.runtimes:
            self.fleet.cut_platform(name, Faults())

    def cut_link(self) -> None:
        """Cut one instance off from the platform."""
        name = self.rng.choice(sorted(self.fleet.runtimes))
        self.fleet.cut_platform(name, self.rng.choice(STORE_FAULTS))

    def cut_datacentres(self) -> None:
        """Cut the data centres off from each other, or end that."""
        self.fleet.network.cut_datacentres ^= {frozenset(DATACENTRES)}

    def replace_instance(self) -> None:
        """Kill an instance and start another in its place."""
        name = self.rng.choice(sorted(self.fleet.runtimes))
        self.fleet.kill(name)
        self.fleet.start(name, name[0])

    def mend_all(self) -> None:
        """Mend everything."""
        self.mend_servers()
        self.mend_store()
        self.fleet.network.cut_datacentres.clear()
