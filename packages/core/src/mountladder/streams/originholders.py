# originholders.py -- Chooses the instances that are told and asked which version began a stream
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Chooses the instances that are told and asked which version began a stream."""

from __future__ import annotations

import itertools
from collections.abc import Iterable

import xxhash

from mountladder.forwarding.fleet import Fleet
from mountladder.forwarding.ranking import SMALL_FLEET, prompts_topic
from mountladder.membership.instance import Instance
from mountladder.membership.link import Link
from mountladder.streams.versionhistory import VersionHistory

# So many instances are told in an instance's own data centre, which may be cut off, so that one of
# them may be slow or end.
LOCAL_HOLDERS = 2
# One instance is told in so many data centres besides an instance's own, since a stream of a data
# centre that is lost is resumed in another one. Any two data centres choose one in common.
MAX_DATACENTRES = 2


class OriginHolders:
    """Chooses the instances that hold the origins of a service's streams.

    In a small fleet, all do. In a larger one, these are the first two of this data centre that
    answer and the first one of a few others by rank, alike for all instances of a data centre that
    reach the same ones.

    Args:
        fleet: The other instances.
        history: The services that several versions serve.
    """

    def __init__(self, fleet: Fleet, history: VersionHistory) -> None:
        self.fleet = fleet
        self.history = history
        fleet.further_targets.append(self.targets)

    def targets(self) -> list[Instance]:
        """Return the instances to keep links to in a large fleet."""
        return [
            one for service in sorted(self.history.several()) for one in self.instances(service)
        ]

    def instances(self, service: str) -> list[Instance]:
        """Return the holders of a service's streams in a large fleet, without this instance."""
        return self.local(service) + self.remote(service)

    def local(self, service: str) -> list[Instance]:
        """Return those of this data centre."""
        ranking, me = self.fleet.ranking, self.fleet.membership.me
        links = self.fleet.links
        # The list keeps instances that have ended until it is read again.
        answering = (
            one
            for one in ranking.ranked(prompts_topic(service), me.datacentre)
            if one is me or self.answers(links.get(one.peer))
        )
        return [one for one in itertools.islice(answering, LOCAL_HOLDERS) if one is not me]

    def remote(self, service: str) -> list[Instance]:
        """Return those of other data centres."""
        ranking, topic = self.fleet.ranking, prompts_topic(service)
        others = {one.datacentre for one in ranking.staying()}
        others.discard(self.fleet.membership.me.datacentre)
        by_weight = sorted(others, key=lambda name: _weight(topic, name))
        return [
            one for name in by_weight[:MAX_DATACENTRES] for one in ranking.ranked(topic, name)[:1]
        ]

    def answers(self, link: Link | None) -> bool:
        """Return whether the other end of a link can be told and asked now."""
        return link is not None and link.peer.knows_versions and self.fleet.is_answering(link)

    def is_first(self, service: str) -> bool:
        """Return whether this instance is the first one of its group that is not silent.

        The group is the whole of a small fleet, else a data centre.
        """
        ranking, me = self.fleet.ranking, self.fleet.membership.me
        datacentre = "" if self.is_small() else me.datacentre
        for one in ranking.ranked(prompts_topic(service), datacentre):
            if one is me:
                return True
            if self.fleet.membership.is_responding(one):
                return False
        return False

    def shares_group(self, instance: Instance) -> bool:
        """Return whether an instance belongs to the same group; see is_first."""
        return self.is_small() or instance.datacentre == self.fleet.membership.me.datacentre

    def is_small(self) -> bool:
        """Return whether every instance holds the origins of all streams."""
        return len(self.fleet.membership.known) <= SMALL_FLEET

    def count(self, service: str) -> int:
        """Return how many other instances would hold a service's streams if all answered."""
        if self.is_small():
            return len(self.fleet.membership.addressed())
        me = self.fleet.membership.me
        first = self.fleet.ranking.ranked(prompts_topic(service), me.datacentre)[:LOCAL_HOLDERS]
        return len(self.remote(service)) + sum(one is not me for one in first)

    def links(self, service: str) -> list[Link]:
        """Return the links to the holders of a service's streams that answer and understand."""
        if self.is_small():
            return [one for one in self.fleet.links.values() if self.answers(one)]
        return self.links_to(self.instances(service))

    def links_to(self, instances: Iterable[Instance]) -> list[Link]:
        """Return the links to those of some instances that answer and understand."""
        found = (self.fleet.links.get(one.peer) for one in instances)
        return [one for one in found if self.answers(one)]

    def told_links(self, service: str) -> list[Link]:
        """Return the links to those that are told the origins of a service's streams.

        In a large fleet these are the holders of this data centre while one version serves. It may
        be cut off from all others at any moment, and does not hear of a second version then.
        """
        if self.is_small() or service in self.history.several():
            return self.links(service)
        return self.links_to(self.local(service))


def _weight(topic: str, datacentre: str) -> int:
    return xxhash.xxh64_intdigest(f"{topic}\0{datacentre}".encode())
