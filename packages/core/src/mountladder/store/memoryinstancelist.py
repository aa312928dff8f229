# memoryinstancelist.py -- An in-memory list of instances that shows changes with a delay
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""An in-memory list of instances that shows changes with a delay."""

from __future__ import annotations

from mountladder.clocks.clock import Clock
from mountladder.errors import StoreUnavailableError
from mountladder.membership.instance import Instance
from mountladder.store.instancelist import InstanceList


class MemoryInstanceList(InstanceList):
    """An in-memory list of instances that shows changes with a delay.

    Args:
        clock: The clock that measures the delay.
        lag_ms: The delay of changes, in milliseconds.
        forget_ms: How long after its last announcement an instance is dropped, in milliseconds.

    Attributes:
        is_down: Whether calls fail.
    """

    def __init__(self, clock: Clock, lag_ms: float = 0.0, forget_ms: float = 30_000.0) -> None:
        self.clock = clock
        self.lag_ms = lag_ms
        self.forget_ms = forget_ms
        self.history: dict[str, list[tuple[float, Instance]]] = {}
        self.is_down = False

    def instances(self) -> tuple[Instance, ...]:
        """Return the instances as of one delay ago; see InstanceList."""
        self.check()
        seen_until = self.clock.now() - self.lag_ms
        shown = (self.latest(name, seen_until) for name in sorted(self.history))
        return tuple(instance for instance in shown if instance)

    def announce(self, instance: Instance) -> None:
        """Record an announcement; see InstanceList."""
        self.check()
        entries = self.history.setdefault(instance.name, [])
        entries.append((self.clock.now(), instance))
        horizon = self.clock.now() - self.lag_ms
        while len(entries) > 1 and entries[1][0] <= horizon:
            entries.pop(0)

    def check(self) -> None:
        """Fail while the list is down."""
        if self.is_down:
            raise StoreUnavailableError("the store is down")

    def latest(self, name: str, until: float) -> Instance | None:
        """Return an instance as last announced before a time, or None if it was dropped."""
        entries = [entry for entry in self.history[name] if entry[0] <= until]
        if not entries or until - entries[-1][0] > self.forget_ms:
            return None
        return entries[-1][1]
