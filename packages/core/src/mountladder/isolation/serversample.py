# serversample.py -- Draws backend servers of different services and data centres
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Draws backend servers of different services and data centres."""

from __future__ import annotations

import random
from collections.abc import Iterator

from mountladder.configuration.backendserver import BackendServer
from mountladder.forwarding.directory import Directory


class ServerSample:
    """Draws backend servers at random, of as many services as possible.

    The servers of one service may fail together, for example under the same requests. Half of the
    servers are of this data centre, since a data centre may be partitioned from the others.

    Args:
        directory: The list of backend servers.
        datacentre: The data centre of this instance.
        rng: The source of randomness.
    """

    def __init__(self, directory: Directory, datacentre: str, rng: random.Random) -> None:
        self.directory = directory
        self.datacentre = datacentre
        self.rng = rng

    def draw(self, number: int, left_out: BackendServer | None = None) -> list[BackendServer]:
        """Return up to a number of servers that may be used, without one of them or None."""
        local, remote = self.in_turn(left_out, True), self.in_turn(left_out, False)
        drawn: list[BackendServer] = []
        while len(drawn) < number:
            pair = [one for one in (next(local, None), next(remote, None)) if one is not None]
            if not pair:
                break
            drawn += pair
        return drawn[:number]

    def in_turn(self, left_out: BackendServer | None, is_local: bool) -> Iterator[BackendServer]:
        """Yield the servers of this data centre, or of the others, one of each service in turn."""
        pools = [
            [
                one
                for one in self.directory.available(service)
                if (one.datacentre == self.datacentre) == is_local and one != left_out
            ]
            for service in self.directory.services
        ]
        for pool in pools:
            self.rng.shuffle(pool)
        self.rng.shuffle(pools)
        while any(pools):
            yield from [pool.pop() for pool in pools if pool]
