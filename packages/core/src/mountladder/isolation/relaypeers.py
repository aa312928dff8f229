# relaypeers.py -- Chooses the instances that requests are relayed to
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Chooses the instances that requests are relayed to."""

from __future__ import annotations

import random
from collections import Counter

from mountladder.forwarding.fleet import Fleet
from mountladder.membership.instance import Instance


class RelayPeers:
    """Chooses the instances that run requests for this one while it can reach no backend server.

    Of two instances drawn at random the one with fewer relayed requests for its size is taken, so
    that many isolated instances do not all choose the same ones. Coordinators and standbys, which
    every instance has links to, are left to their work where there are others.

    Args:
        fleet: The other instances.
        rng: The source of randomness.

    Attributes:
        running: The number of requests of this instance that each peer runs, by incarnation.
    """

    def __init__(self, fleet: Fleet, rng: random.Random) -> None:
        self.fleet = fleet
        self.rng = rng
        self.running: Counter[str] = Counter()

    def available(self) -> list[Instance]:
        """Return the instances that reach backend servers and that this one reaches."""
        members = self.fleet.membership
        peers = [link.peer for link in self.fleet.links.values() if self.fleet.is_usable(link)]
        return [
            one
            for one in peers
            if one.web and one.incarnation not in members.leaving and not members.is_isolated(one)
        ]

    def choose(self, excluded: frozenset[str]) -> Instance | None:
        """Return an instance to relay a request to, or None if there is none.

        Args:
            excluded: The names of instances that have failed to run the request.
        """
        peers = [one for one in self.available() if one.name not in excluded]
        busy = {one.name for one in self.fleet.coordinators.candidates()}
        peers = [one for one in peers if one.name not in busy] or peers
        drawn = self.rng.sample(peers, min(2, len(peers)))
        return min(drawn, key=self.load, default=None)

    def load(self, peer: Instance) -> float:
        """Return the number of requests that a peer would run for this instance, by its size."""
        return (self.running[peer.incarnation] + 1) / max(peer.cores, 0.1)

    def begin(self, peer: Instance) -> None:
        """Record that a request is relayed to a peer."""
        self.running[peer.incarnation] += 1

    def end(self, peer: Instance) -> None:
        """Record that a relayed request has ended."""
        self.running[peer.incarnation] -= 1
        if not self.running[peer.incarnation]:
            del self.running[peer.incarnation]
