# ranking.py -- In which order instances take work that meets in one place
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""In which order instances take work that meets in one place."""

from __future__ import annotations

import xxhash

from mountladder.membership.instance import Instance
from mountladder.membership.membership import MISSED_HEARTBEATS, Membership

# Up to this many instances all talk to each other, which costs each about 1 % of a core.
SMALL_FLEET = 12
# Those with less than this part of the most processor cores take shared work only after the
# others: a small one that takes what a whole fleet sends is late for all of it.
AMPLE_CORES = 0.6
# Instances whose starts lie so close together count as equally old: all of a fleet that is started
# at once, or again after all were killed, do so within a second or two.
TOGETHER_MS = 2_000
# Under this topic instances are ranked for following the store.
STORE_TOPIC = "the store"


class Ranking:
    """Ranks instances by hash, which gives the same order wherever the same ones are known.

    Args:
        membership: Which instances there are.

    Attributes:
        leaving: Whether this instance is about to end, so that it takes no more such work.
    """

    def __init__(self, membership: Membership) -> None:
        self.membership = membership
        self.leaving = False
        self.ranks: dict[tuple[str, str], tuple[tuple[int, bool], list[Instance]]] = {}

    def ranked(self, topic: str, datacentre: str = "") -> list[Instance]:
        """Return the instances in the order in which they are to take the work of a topic.

        With a data centre these are the instances there, else all.

        Those with few processor cores come behind those with many, and the younger half behind
        the older one: whoever starts again does not take work back, since what is known where work
        meets is lost with each move. Among the older half a hash divides the topics.
        """
        stamp = (self.membership.changes, self.leaving)
        known = self.ranks.get((topic, datacentre))
        if known is not None and known[0] == stamp:
            return known[1]
        staying = [one for one in self.staying() if datacentre in {"", one.datacentre}]
        least = AMPLE_CORES * max((one.cores for one in staying), default=0.0)
        ample = [one for one in staying if one.cores >= least]
        older = set(map(id, _older_half(ample)))
        ranked = sorted(
            staying,
            key=lambda one: (one.cores >= least, id(one) in older, _weight(topic, one)),
            reverse=True,
        )
        self.ranks[topic, datacentre] = (stamp, ranked)
        return ranked

    def staying(self) -> list[Instance]:
        """Return the instances that are known and not about to end."""
        members = self.membership
        staying = [
            one
            for one in members.known.values()
            if one.peer and one.incarnation not in members.leaving
        ]
        return staying if self.leaving else [*staying, members.me]

    def near(self) -> list[Instance]:
        """Return the instances that leave the store to one of them, by rank.

        In a small fleet these are all, else those of a data centre; the silent ones are left out.
        """
        members = self.membership
        whole = len(members.known) <= SMALL_FLEET
        here = members.me.datacentre
        ranked = self.ranked(STORE_TOPIC)
        near = ranked if whole else [one for one in ranked if one.datacentre == here]
        limit_ms = MISSED_HEARTBEATS * members.interval_ms
        return [one for one in near if one is members.me or members.silence_ms(one) <= limit_ms]


def prompts_topic(service: str) -> str:
    """Return the topic under which the prompts of a service meet."""
    return f"prompts of {service}"


def _older_half(instances: list[Instance]) -> list[Instance]:
    starts = sorted(one.since for one in instances)
    latest = starts[(len(starts) - 1) // 2] + TOGETHER_MS if starts else 0
    return [one for one in instances if one.since <= latest]


def _weight(topic: str, instance: Instance) -> int:
    return xxhash.xxh64_intdigest(f"{topic}\0{instance.name}".encode())
