# serversample.py -- Draws backend servers of different services
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Draws backend servers of different services."""

from __future__ import annotations

import random

from mountladder.configuration.backendserver import BackendServer
from mountladder.forwarding.directory import Directory


class ServerSample:
    """Draws backend servers at random, of as many services as possible.

    The servers of one service may fail together, for example under the same requests.

    Args:
        directory: The list of backend servers.
        rng: The source of randomness.
    """

    def __init__(self, directory: Directory, rng: random.Random) -> None:
        self.directory = directory
        self.rng = rng

    def draw(self, number: int, left_out: BackendServer | None = None) -> list[BackendServer]:
        """Return up to a number of servers that may be used, without one of them or None."""
        pools = [list(self.directory.available(service)) for service in self.directory.services]
        for pool in pools:
            self.rng.shuffle(pool)
        self.rng.shuffle(pools)
        drawn: list[BackendServer] = []
        while len(drawn) < number and any(pools):
            for pool in pools:
                server = pool.pop() if pool else None
                if server is not None and (left_out is None or server.name != left_out.name):
                    drawn.append(server)
        return drawn[:number]
