# listage.py -- How long ago the list of backend servers was known to be current
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""How long ago the list of backend servers was known to be current."""

from __future__ import annotations

import math
from collections.abc import Callable

from mountladder.clocks.clock import Clock
from mountladder.clocks.standstill import Standstill
from mountladder.forwarding.beacon import Beacon
from mountladder.forwarding.directory import Directory
from mountladder.store.position import Position


class ListAge:
    """Tracks when this instance last knew that its list of backend servers was current.

    That is so when the store answers this instance, or when a peer that polls the store, and is
    answered, has no newer entry. The list of such a peer is as old as the last answer of the store,
    which is up to a second where the next one does not come any more. While this process stands
    still, beacons and answers of the store wait, and are as old as that.

    Args:
        directory: The list of backend servers.
        clock: The clock.
        standstill: Detects that this process stood still.

    Attributes:
        answered_at: Returns when the store last answered a call for the list from this instance.
        read_at: Returns as of when the list of this instance was last read from the store.
        confirmed_at: When a peer last confirmed the list.
        peer_current_at: As of when the list has been confirmed by peers.
        awaited: A newer position that a peer has announced, when, and as of when; it confirms the
            list once that has reached it.
    """

    def __init__(self, directory: Directory, clock: Clock, standstill: Standstill) -> None:
        self.directory = directory
        self.clock = clock
        self.standstill = standstill
        self.answered_at: Callable[[], float] = lambda: -math.inf
        self.read_at: Callable[[], float] = lambda: -math.inf
        self.confirmed_at = self.peer_current_at = -math.inf
        self.awaited: tuple[Position, float, float] | None = None
        directory.listeners.append(self.update)

    def record(self, beacon: Beacon) -> None:
        """Record a peer's beacon."""
        if not (beacon.reads_store and beacon.store_answers):
            return
        sent_at = self.standstill.sent_after()
        current_at = sent_at - beacon.list_age_ms
        if beacon.directory <= self.directory.newest:
            self.confirm(sent_at, current_at)
        elif self.awaited is None:
            self.awaited = (beacon.directory, sent_at, current_at)

    def update(self) -> None:
        """Confirm the list if it has reached the position that is awaited."""
        if self.awaited is None:
            return
        position, announced_at, current_at = self.awaited
        if position <= self.directory.newest:
            self.confirm(announced_at, current_at)
            self.awaited = None

    def confirm(self, at: float, current_at: float) -> None:
        """Record that a peer confirmed the list at a time, as of another."""
        self.confirmed_at = max(self.confirmed_at, at)
        self.peer_current_at = max(self.peer_current_at, current_at)

    def ms(self) -> float:
        """Return how long ago the list was confirmed; infinite if it never was."""
        # An answer that waited was made at some time after its call.
        answered_at = min(self.answered_at(), max(self.read_at(), self.standstill.sent_after()))
        return self.clock.now() - max(self.confirmed_at, answered_at)

    def read_ms(self) -> float:
        """Return how old the list is by what this instance read; infinite if it never did."""
        return self.clock.now() - self.read_at()

    def current_at(self) -> float:
        """Return as of when the list is known to have been current, in the clock's ms."""
        return max(self.peer_current_at, self.read_at())
