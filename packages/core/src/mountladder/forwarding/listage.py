# listage.py -- How long ago the list of backend servers was known to be current
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""How long ago the list of backend servers was known to be current."""

from __future__ import annotations

import math
from collections.abc import Callable

from mountladder.clocks.clock import Clock
from mountladder.forwarding.beacon import Beacon
from mountladder.forwarding.directory import Directory
from mountladder.store.position import Position


class ListAge:
    """Tracks when this instance last knew that its list of backend servers was current.

    That is so when the store answers this instance, or when a peer that polls the store, and is
    answered, has no newer entry.

    Args:
        directory: The list of backend servers.
        clock: The clock.

    Attributes:
        answered_at: Returns when the store last answered a call for the list from this instance.
        confirmed_at: When a peer last confirmed the list.
        awaited: A newer position that a peer has announced, and when; it confirms the list as of
            then once the list has reached it.
    """

    def __init__(self, directory: Directory, clock: Clock) -> None:
        self.directory = directory
        self.clock = clock
        self.answered_at: Callable[[], float] = lambda: -math.inf
        self.confirmed_at = -math.inf
        self.awaited: tuple[Position, float] | None = None
        directory.listeners.append(self.update)

    def record(self, beacon: Beacon) -> None:
        """Record a peer's beacon."""
        if not (beacon.reads_store and beacon.store_answers):
            return
        if beacon.directory <= self.directory.newest:
            self.confirmed_at = self.clock.now()
        elif self.awaited is None:
            self.awaited = (beacon.directory, self.clock.now())

    def update(self) -> None:
        """Confirm the list if it has reached the position that is awaited."""
        if self.awaited is None:
            return
        position, announced_at = self.awaited
        if position <= self.directory.newest:
            self.confirmed_at = max(self.confirmed_at, announced_at)
            self.awaited = None

    def ms(self) -> float:
        """Return how long ago the list was known to be current; infinite if it never was."""
        return self.clock.now() - max(self.confirmed_at, self.answered_at())
