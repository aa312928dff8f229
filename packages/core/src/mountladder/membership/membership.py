# membership.py -- Which instances there are
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Which instances there are."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

import xxhash

from mountladder.clocks.clock import Clock
from mountladder.membership.instance import Instance

INTERVAL_MS = 1_000.0
# Up to so many neighbours are told every least interval; each further one lengthens it, so that 38
# cost an instance six heartbeats a second, and as many answers.
CLOSE_PEERS = 5
PER_PEER_MS = 200.0
MISSED_HEARTBEATS = 3
OUTSIDE_PEERS = 2
GATHERED_FROM = 6
# How many instances are taken to share a budget while their number is not known.
UNKNOWN_INSTANCES = 16


class Membership:
    """The instances known from the platform's list, from greetings and from heartbeats.

    Args:
        me: This instance.
        clock: The clock.
        interval_ms: The least time between two heartbeats to one peer.

    Attributes:
        changes: Grows with each change of what is known, for those that keep what they derive.
    """

    def __init__(self, me: Instance, clock: Clock, interval_ms: float = INTERVAL_MS) -> None:
        self.me = me
        self.clock = clock
        self.least_interval_ms = interval_ms
        self.known: dict[str, Instance] = {}
        self.listed: frozenset[str] = frozenset()
        self.heard_at: dict[str, float] = {}
        self.leaving: set[str] = set()
        self.changes = 0
        self.near_names: tuple[int, list[Instance]] = (-1, [])
        self.drawn: tuple[int, list[Instance]] = (-1, [])
        self.forgot_at = clock.now()

    @property
    def interval_ms(self) -> float:
        """Return the time between heartbeats, which grows with the number of peers.

        So the heartbeats that an instance sends in a second stay bounded.
        """
        return max(self.least_interval_ms, PER_PEER_MS * (len(self.neighbours()) - CLOSE_PEERS))

    def observe(self, instances: Iterable[Instance]) -> None:
        """Take in the platform's list, which lags; what was heard since goes before it."""
        listed = {instance.name: instance for instance in instances}
        self.listed = frozenset(instance.incarnation for instance in listed.values())
        for name, instance in listed.items():
            if name != self.me.name and not self.is_heard(self.known.get(name)):
                self.known[name] = instance
        for name in list(self.known):
            if name not in listed and not self.is_heard(self.known[name]):
                del self.known[name]
        self.changes += 1

    def hear(self, instance: Instance, leaving: bool = False) -> None:
        """Take in a sign of life from an instance itself."""
        if self.known.get(instance.name) != instance:
            self.known[instance.name] = instance
            self.changes += 1
        self.heard_at[instance.incarnation] = self.clock.now()
        if leaving and instance.incarnation not in self.leaving:
            self.leaving.add(instance.incarnation)
            self.changes += 1
        self.forget_old()

    def mention(self, instance: Instance) -> None:
        """Take in an instance that another one knows; what was heard itself goes before it."""
        if instance.name != self.me.name and instance.name not in self.known:
            self.known[instance.name] = instance
            self.changes += 1

    def forget_old(self) -> None:
        """Forget incarnations that were not heard of for long."""
        now = self.clock.now()
        if now - self.forgot_at < self.least_interval_ms:
            return
        self.forgot_at = now
        horizon = now - 10 * MISSED_HEARTBEATS * self.interval_ms
        for incarnation, at in list(self.heard_at.items()):
            if at < horizon:
                del self.heard_at[incarnation]
                self.leaving.discard(incarnation)
                self.changes += 1

    def sharing(self) -> int:
        """Return how many instances are taken to share what all may spend together."""
        known = 1 + len(self.known)
        return known if self.listed else max(known, UNKNOWN_INSTANCES)

    def silence_ms(self, instance: Instance) -> float:
        """Return how long ago an instance was heard of; infinite if never."""
        at = self.heard_at.get(instance.incarnation)
        return float("inf") if at is None else self.clock.now() - at

    def is_heard(self, instance: Instance | None) -> bool:
        """Tell whether an instance was heard of within the last heartbeats."""
        if instance is None:
            return False
        at = self.heard_at.get(instance.incarnation)
        limit = MISSED_HEARTBEATS * self.interval_ms
        return at is not None and self.clock.now() - at <= limit

    def addressed(self) -> list[Instance]:
        """Return the known other instances whose address for peers is known."""
        return [one for one in self.known.values() if one.peer]

    def neighbours(self) -> list[Instance]:
        """Return the known other instances of this data centre, by name."""
        stamp, mine = self.near_names
        if stamp != self.changes:
            mine = [one for one in self.known.values() if one.datacentre == self.me.datacentre]
            mine.sort(key=lambda one: one.name)
            self.near_names = (self.changes, mine)
        return list(mine)

    def outside(self) -> list[Instance]:
        """Return the few instances of other data centres that this one talks to.

        Each instance draws its own few by a hash, one a data centre first, so that together they
        connect every data centre with several others.
        """
        if self.drawn[0] != self.changes:
            self.drawn = (self.changes, self.draw_outside())
        return list(self.drawn[1])

    def draw_outside(self) -> list[Instance]:
        """Return the first of the others by a hash, one a data centre first."""
        others = [one for one in self.known.values() if one.datacentre != self.me.datacentre]
        others.sort(key=lambda one: _distance(self.me, one))
        firsts = {one.datacentre: one for one in reversed(others)}
        chosen = sorted(firsts.values(), key=others.index)[:OUTSIDE_PEERS]
        rest = [one for one in others if one not in chosen]
        return (chosen + rest)[:OUTSIDE_PEERS]

    def targets(self) -> list[Instance]:
        """Return the instances that this one talks to."""
        return self.neighbours() + self.outside()

    def live(self) -> list[Instance]:
        """Return the live instances of this data centre that stay, this one included, by name."""
        others = [
            one
            for one in self.neighbours()
            if self.is_heard(one) and one.incarnation not in self.leaving
        ]
        return sorted([*others, self.me], key=lambda one: one.name)

    def rank(self) -> int:
        """Return this instance's place among the live ones of its data centre, from 0."""
        return [one.name for one in self.live()].index(self.me.name)

    def writers(self) -> int:
        """Return how many instances write claims: one of a large data centre, else all."""
        sizes = Counter(one.datacentre for one in [*self.known.values(), self.me])
        return sum(1 if size >= GATHERED_FROM else size for size in sizes.values())

    def is_alive(self, incarnation: str) -> bool:
        """Tell whether an incarnation may still be alive, as far as is known here."""
        return (
            incarnation == self.me.incarnation
            or incarnation in self.heard_at
            or incarnation in self.listed
        )

    def find(self, incarnation: str) -> Instance | None:
        """Return a known instance by its incarnation."""
        for instance in self.known.values():
            if instance.incarnation == incarnation:
                return instance
        return None


def _distance(first: Instance, second: Instance) -> int:
    return xxhash.xxh64_intdigest(f"{first.name}\0{second.name}".encode())
