# membership.py -- The known instances of the fleet, and which of them are alive
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The known instances of the fleet, and which of them are alive."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

import xxhash

from mountladder.clocks.clock import Clock
from mountladder.membership.instance import Instance

MIN_INTERVAL_MS = 1_000.0
# Up to this many neighbours the shortest heartbeat interval is used. Each further one lengthens it,
# so that with 38 neighbours an instance sends six heartbeats a second, and gets as many replies.
PEERS_AT_MIN_INTERVAL = 5
INTERVAL_PER_PEER_MS = 200.0
# An instance or link that is silent for this many heartbeat intervals counts as failed.
MISSED_HEARTBEATS = 3
# For how many heartbeat intervals an instance counts as isolated after it last said so, and how
# long that is at least, in milliseconds. Links to it may be closed before it recovers.
ISOLATED_HEARTBEATS = 3
MIN_ISOLATED_MS = 3_000.0
# How many instances of other data centres each instance keeps links to.
REMOTE_PEERS = 2
# In a data centre with at least this many instances, one of them commits the claims of all.
GATHERING_MIN_INSTANCES = 6
# How many instances are assumed to share a budget while their number is unknown.
ASSUMED_INSTANCES = 16
# How long an instance that is not listed any more counts as sharing the budgets. It may serve its
# callers all the same: data centres lose each other for up to an hour.
DROPPED_MS = 3_600_000.0


class Membership:
    """The instances known from the platform's list, from handshakes and from heartbeats.

    Args:
        me: This instance.
        clock: The clock.
        interval_ms: The shortest time between two heartbeats to one peer.

    Attributes:
        changes: Counts the changes, so that derived values can be cached.
        isolated_until: Until when instances count as unable to reach any backend server, by
            incarnation.
        dropped_at: When instances that are not known any more were dropped, by name.
    """

    def __init__(self, me: Instance, clock: Clock, interval_ms: float = MIN_INTERVAL_MS) -> None:
        self.me = me
        self.clock = clock
        self.min_interval_ms = interval_ms
        self.known: dict[str, Instance] = {}
        self.listed: frozenset[str] = frozenset()
        self.last_seen: dict[str, float] = {}
        self.leaving: set[str] = set()
        self.isolated_until: dict[str, float] = {}
        self.dropped_at: dict[str, float] = {}
        self.changes = 0
        self.cached_interval: tuple[int, float] = (-1, interval_ms)
        self.cached_neighbours: tuple[int, list[Instance]] = (-1, [])
        self.cached_remote_peers: tuple[int, list[Instance]] = (-1, [])
        self.last_cleanup_at = clock.now()

    @property
    def interval_ms(self) -> float:
        """Return the time between heartbeats to one peer, in milliseconds.

        It grows with the number of peers, which bounds the heartbeats that an instance sends in a
        second.
        """
        if self.cached_interval[0] != self.changes:
            # Each message that is received or sent needs it several times.
            grown_ms = INTERVAL_PER_PEER_MS * (len(self.neighbours()) - PEERS_AT_MIN_INTERVAL)
            self.cached_interval = (self.changes, max(self.min_interval_ms, grown_ms))
        return self.cached_interval[1]

    def apply_list(self, instances: Iterable[Instance]) -> None:
        """Apply the platform's list; it lags, so live instances keep what they sent themselves."""
        listed = {instance.name: instance for instance in instances}
        self.listed = frozenset(instance.incarnation for instance in listed.values())
        for name, instance in listed.items():
            if name != self.me.name and not self.is_responding(self.known.get(name)):
                self.known[name] = instance
        for name in list(self.known):
            if name not in listed and not self.is_responding(self.known[name]):
                del self.known[name]
                self.dropped_at[name] = self.clock.now()
        self.changes += 1

    def mark_alive(self, instance: Instance, leaving: bool = False) -> None:
        """Record that an instance is alive, from a message that it sent."""
        if self.known.get(instance.name) != instance:
            self.known[instance.name] = instance
            self.changes += 1
        self.last_seen[instance.incarnation] = self.clock.now()
        if leaving and instance.incarnation not in self.leaving:
            self.leaving.add(instance.incarnation)
            self.changes += 1
        self.drop_expired()

    def mark_isolated(self, instance: Instance, isolated: bool) -> bool:
        """Record whether an instance can reach no backend server; return whether that changed."""
        was_isolated = self.is_isolated(instance)
        if isolated:
            for_ms = max(MIN_ISOLATED_MS, ISOLATED_HEARTBEATS * self.interval_ms)
            until = float("inf") if instance is self.me else self.clock.now() + for_ms
            self.isolated_until[instance.incarnation] = until
        else:
            self.isolated_until.pop(instance.incarnation, None)
        self.changes += isolated != was_isolated
        return isolated != was_isolated

    def is_isolated(self, instance: Instance) -> bool:
        """Return whether an instance can reach no backend server, as far as this one knows."""
        return instance.incarnation in self.isolated_until

    def add_reported(self, instance: Instance) -> None:
        """Add an instance that a peer knows, unless it is known already."""
        if instance.name != self.me.name and instance.name not in self.known:
            self.known[instance.name] = instance
            self.changes += 1

    def drop_expired(self) -> None:
        """Drop incarnations that have sent nothing for a long time."""
        now = self.clock.now()
        if now - self.last_cleanup_at < self.min_interval_ms:
            return
        self.last_cleanup_at = now
        for incarnation in [one for one, until in self.isolated_until.items() if until < now]:
            del self.isolated_until[incarnation]
            self.changes += 1
        horizon = now - 10 * MISSED_HEARTBEATS * self.interval_ms
        for incarnation, at in list(self.last_seen.items()):
            if at < horizon:
                del self.last_seen[incarnation]
                self.leaving.discard(incarnation)
                self.changes += 1

    def budget_sharers(self) -> int:
        """Return how many instances are assumed to share a common budget."""
        known = 1 + len(self.known) + self.count_dropped()
        return known if self.listed else max(known, ASSUMED_INSTANCES)

    def count_dropped(self) -> int:
        """Return how many instances were dropped recently and may still serve callers."""
        oldest = self.clock.now() - DROPPED_MS
        for name, at in list(self.dropped_at.items()):
            if name in self.known or at < oldest:
                del self.dropped_at[name]
        return len(self.dropped_at)

    def was_dropped_within(self, ms: float) -> bool:
        """Return whether an instance was dropped in the last milliseconds, and is not known."""
        oldest = self.clock.now() - ms
        return any(at >= oldest and one not in self.known for one, at in self.dropped_at.items())

    def silence_ms(self, instance: Instance) -> float:
        """Return the time since an instance last sent something, in ms; infinite if never."""
        at = self.last_seen.get(instance.incarnation)
        return float("inf") if at is None else self.clock.now() - at

    def is_responding(self, instance: Instance | None) -> bool:
        """Return whether an instance has sent something within the last heartbeat intervals."""
        if instance is None:
            return False
        at = self.last_seen.get(instance.incarnation)
        limit_ms = MISSED_HEARTBEATS * self.interval_ms
        return at is not None and self.clock.now() - at <= limit_ms

    def has_fallen_silent(self, instance: Instance) -> bool:
        """Return whether an instance has sent something once, and nothing lately."""
        return instance.incarnation in self.last_seen and not self.is_responding(instance)

    def addressed(self) -> list[Instance]:
        """Return the other instances whose peer address is known."""
        return [one for one in self.known.values() if one.peer]

    def neighbours(self) -> list[Instance]:
        """Return the other instances of this data centre, ordered by name."""
        stamp, found = self.cached_neighbours
        if stamp != self.changes:
            found = [one for one in self.known.values() if one.datacentre == self.me.datacentre]
            found.sort(key=lambda one: one.name)
            self.cached_neighbours = (self.changes, found)
        return list(found)

    def remote_peers(self) -> list[Instance]:
        """Return the few instances of other data centres that this one keeps links to.

        Each instance selects its own by a hash, first one in each data centre, so that together
        they connect every data centre with several others.
        """
        if self.cached_remote_peers[0] != self.changes:
            self.cached_remote_peers = (self.changes, self.select_remote_peers())
        return list(self.cached_remote_peers[1])

    def select_remote_peers(self) -> list[Instance]:
        """Select instances of other data centres by a hash, first one in each data centre."""
        others = [one for one in self.known.values() if one.datacentre != self.me.datacentre]
        others.sort(key=lambda one: _hash(self.me, one))
        firsts = {one.datacentre: one for one in reversed(others)}
        chosen = sorted(firsts.values(), key=others.index)[:REMOTE_PEERS]
        rest = [one for one in others if one not in chosen]
        return (chosen + rest)[:REMOTE_PEERS]

    def targets(self) -> list[Instance]:
        """Return the instances that this one keeps links to."""
        return self.neighbours() + self.remote_peers()

    def live(self) -> list[Instance]:
        """Return the live instances of this data centre that are not leaving, by name."""
        others = [
            one
            for one in self.neighbours()
            if self.is_responding(one) and one.incarnation not in self.leaving
        ]
        return sorted([*others, self.me], key=lambda one: one.name)

    def rank(self) -> int:
        """Return this instance's index among the live ones of its data centre."""
        return [one.name for one in self.live()].index(self.me.name)

    def claim_writers(self) -> int:
        """Return how many instances write claims: one of a large data centre, else all."""
        sizes = Counter(one.datacentre for one in [*self.known.values(), self.me])
        return sum(1 if size >= GATHERING_MIN_INSTANCES else size for size in sizes.values())

    def is_alive(self, incarnation: str) -> bool:
        """Return whether an incarnation may still be alive, as far as this instance knows."""
        return (
            incarnation == self.me.incarnation
            or incarnation in self.last_seen
            or incarnation in self.listed
        )

    def find(self, incarnation: str) -> Instance | None:
        """Return a known instance by its incarnation, or None."""
        for instance in self.known.values():
            if instance.incarnation == incarnation:
                return instance
        return None


def _hash(first: Instance, second: Instance) -> int:
    return xxhash.xxh64_intdigest(f"{first.name}\0{second.name}".encode())
