# memorynetwork.py -- In-process network between instances, for tests and demos
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""In-process network between instances, for tests and demos."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import ExitStack

import gevent

from mountladder.clocks.clock import Clock
from mountladder.errors import PeerError
from mountladder.membership.instance import Instance
from mountladder.membership.link import Link
from mountladder.membership.memorylink import MemoryLink
from mountladder.membership.network import Network


class MemoryNetwork(Network):
    """In-process links between instances, which can be partitioned by data centre or instance.

    Args:
        clock: The clock that delays messages.
        latency_ms: The latency of a message.

    Attributes:
        cut_datacentres: Pairs of data centres that cannot reach each other.
        cut_instances: Pairs of instances, by name, that cannot reach each other.
    """

    def __init__(self, clock: Clock, latency_ms: float = 0.5) -> None:
        self.clock = clock
        self.latency_ms = latency_ms
        self.served: dict[str, tuple[Instance, Callable[[Link], None]]] = {}
        self.cut_datacentres: set[frozenset[str]] = set()
        self.cut_instances: set[frozenset[str]] = set()
        self.links: list[MemoryLink] = []

    def connect(self, address: str, me: Instance) -> Link:
        """Open a link; see Network."""
        self.clock.sleep(self.latency_ms)
        entry = self.served.get(address)
        if entry is None or not self.reachable(me, entry[0]):
            raise PeerError(f"{address}: cannot be reached")
        there, serve = entry
        near = MemoryLink(me, lambda: self.reachable(me, there), self.clock, self.latency_ms)
        far = MemoryLink(there, lambda: self.reachable(me, there), self.clock, self.latency_ms)
        near.other, far.other = far, near
        self.links.append(far)
        gevent.spawn(serve, far)
        return near

    def listen(self, me: Instance, serve: Callable[[Link], None], stack: ExitStack) -> None:
        """Serve links; see Network."""
        self.served[me.peer] = (me, serve)
        stack.callback(self.forget, me)

    def forget(self, me: Instance) -> None:
        """Close every link to an instance and accept no more."""
        self.served.pop(me.peer, None)
        for link in self.links:
            if link.me == me:
                link.close()
        self.links = [link for link in self.links if not link.closed]

    def reachable(self, first: Instance, second: Instance) -> bool:
        """Return whether two instances can reach each other."""
        if frozenset({first.name, second.name}) in self.cut_instances:
            return False
        return frozenset({first.datacentre, second.datacentre}) not in self.cut_datacentres
