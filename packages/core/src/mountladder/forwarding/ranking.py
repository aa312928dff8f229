# ranking.py -- Ranks instances for shared work by rendezvous hashing
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Ranks instances for shared work by rendezvous hashing."""

from __future__ import annotations

import xxhash

from mountladder.membership.instance import Instance
from mountladder.membership.membership import MISSED_HEARTBEATS, Membership

# Up to this number, every instance keeps links to all others, which costs each about 1 % of a core.
SMALL_FLEET = 12
# Instances with less than this fraction of the largest number of cores rank behind all others: a
# small one that coordinated a whole fleet's work would delay all of it.
AMPLE_CORES_FRACTION = 0.6
# Instances that start this close together count as equally old: those of a fleet that is started at
# once, or restarted after all were killed, start within a second or two.
SAME_AGE_MS = 2_000
# The topic that instances are ranked by for polling the store.
STORE_TOPIC = "the store"


class Ranking:
    """Ranks instances by a hash of topic and name, alike on all that know the same instances.

    Args:
        membership: The known instances.

    Attributes:
        leaving: Whether this instance is shutting down, so that it is not ranked any more.
        pooled: The services whose pieces and requests have one coordinator. A server's limits hold
            for both together, and two coordinators would each use them up.
    """

    def __init__(self, membership: Membership) -> None:
        self.membership = membership
        self.leaving = False
        self.pooled: frozenset[str] = frozenset()
        self.pooled_topics: dict[str, str] = {}
        self.ranks: dict[tuple[str, str], tuple[tuple[int, bool], list[Instance]]] = {}

    def pool(self, services: frozenset[str]) -> None:
        """Have the pieces and requests of some services ranked alike, and no others."""
        self.pooled = services
        self.pooled_topics = {prompts_topic(one): one for one in services}
        self.ranks.clear()

    def weight(self, topic: str, instance: Instance) -> int:
        """Return the weight of an instance for a topic; the highest one ranks first."""
        return _weight(self.pooled_topics.get(topic, topic), instance)

    def ranked(self, topic: str, datacentre: str = "") -> list[Instance]:
        """Return the candidates to coordinate a topic, the best first.

        Instances that reach no backend server rank behind those that do, except for polling the
        store. Next, those with few processor cores rank behind those with many, and the younger
        half behind the older one: a restarted instance does not become coordinator again, since
        each move loses the coordinator's state. Within these groups the hash spreads the topics.

        Args:
            topic: The topic.
            datacentre: Only instances of this data centre are ranked, or all if it is empty.
        """
        stamp = (self.membership.changes, self.leaving)
        known = self.ranks.get((topic, datacentre))
        if known is not None and known[0] == stamp:
            return known[1]
        staying = [one for one in self.staying() if datacentre in {"", one.datacentre}]
        min_cores = AMPLE_CORES_FRACTION * max((one.cores for one in staying), default=0.0)
        ample = [one for one in staying if one.cores >= min_cores]
        older = set(map(id, _older_half(ample)))
        ranked = sorted(
            staying,
            key=lambda one: (
                topic == STORE_TOPIC or not self.membership.is_isolated(one),
                one.cores >= min_cores,
                id(one) in older,
                self.weight(topic, one),
            ),
            reverse=True,
        )
        self.ranks[topic, datacentre] = (stamp, ranked)
        return ranked

    def is_first_reader(self) -> bool:
        """Return whether no other instance comes before this one for polling the store.

        Those that have fallen silent are left out. An instance that never sent anything here, in a
        large fleet, is taken for one that works.
        """
        for one in self.ranked(STORE_TOPIC):
            if one is self.membership.me:
                return True
            if not self.membership.has_fallen_silent(one):
                return False
        return False

    def position(self, topic: str) -> int:
        """Return how many of the instances come before this one for a topic, by the hash alone."""
        weight = self.weight(topic, self.membership.me)
        return sum(self.weight(topic, one) > weight for one in self.staying())

    def staying(self) -> list[Instance]:
        """Return the known instances that are not shutting down, this one included."""
        members = self.membership
        staying = [
            one
            for one in members.known.values()
            if one.peer and one.incarnation not in members.leaving
        ]
        return staying if self.leaving else [*staying, members.me]

    def reader_group(self) -> list[Instance]:
        """Return the instances that share one reader of the store with this one, by rank.

        This reader group is the whole of a small fleet, else this data centre. Silent instances are
        left out.
        """
        members = self.membership
        whole = len(members.known) <= SMALL_FLEET
        here = members.me.datacentre
        ranked = self.ranked(STORE_TOPIC)
        reader_group = ranked if whole else [one for one in ranked if one.datacentre == here]
        limit_ms = MISSED_HEARTBEATS * members.interval_ms
        return [
            one for one in reader_group if one is members.me or members.silence_ms(one) <= limit_ms
        ]


def prompts_topic(service: str) -> str:
    """Return the topic that ranks the coordinators of a service's prompts."""
    return f"prompts of {service}"


def _older_half(instances: list[Instance]) -> list[Instance]:
    starts = sorted(one.since for one in instances)
    latest = starts[(len(starts) - 1) // 2] + SAME_AGE_MS if starts else 0
    return [one for one in instances if one.since <= latest]


def _weight(topic: str, instance: Instance) -> int:
    return xxhash.xxh64_intdigest(f"{topic}\0{instance.name}".encode())
