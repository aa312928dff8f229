# contacts.py -- With which instances shared work is exchanged
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""With which instances shared work is exchanged."""

from __future__ import annotations

from mountladder.forwarding.catalogue import Catalogue
from mountladder.forwarding.division import Division
from mountladder.forwarding.ranking import Ranking, prompts_topic
from mountladder.membership.instance import Instance
from mountladder.membership.membership import Membership

# In a larger fleet (SMALL_FLEET) so many of the first by hash are kept in touch with for each
# topic.
HOMES_KEPT = 2
# In a larger fleet heartbeats to the first of these come at this interval, so that a silent one is
# missed after three of them; to others the interval grows with their number.
HOME_HEARTBEAT_MS = 500.0
# The second is only to be known to be there when the first falls silent.
SECOND_HEARTBEAT_MS = 1_500.0
# Places of several data centres lend each other work by how long pieces wait there; in a burst that
# changes by about a call within this time.
PLACE_HEARTBEAT_MS = 250.0


class Contacts:
    """Tells where the work of each topic meets, and with whom this instance keeps in touch for it.

    Args:
        membership: Which instances there are.
        ranking: In which order they take shared work.
        division: Which services each data centre works on by itself.

    Attributes:
        topics: The topics whose work meets in one place, or in one of each data centre.
    """

    def __init__(self, membership: Membership, ranking: Ranking, division: Division) -> None:
        self.membership = membership
        self.ranking = ranking
        self.division = division
        self.topics: set[str] = set()
        self.stamp: object = None
        self.kept_datacentres: frozenset[str] = frozenset()
        self.kept_homes: list[Instance] = []
        self.kept_places: list[Instance] = []
        self.kept_intervals: dict[str, float] = {}

    def learn(self, catalogue: Catalogue) -> None:
        """Learn the topics of a catalogue's services."""
        for service in catalogue.services.values():
            if service.batch is not None:
                self.topics.add(service.name)
            if service.slots or service.cold_per_s:
                self.topics.add(prompts_topic(service.name))

    def ranked(self, topic: str) -> list[Instance]:
        """Return the instances in the order in which they take this one's work of a topic."""
        here = self.membership.me.datacentre if self.division.is_divided(topic) else ""
        return self.ranking.ranked(topic, here)

    def other_datacentres(self) -> frozenset[str]:
        """Return the other data centres that have instances."""
        self.refresh()
        return self.kept_datacentres

    def homes(self) -> list[Instance]:
        """Return the other instances where this one's work meets, or would next."""
        self.refresh()
        return self.kept_homes

    def places(self, topic: str, datacentre: str) -> list[Instance]:
        """Return where the work of a divided topic meets in another data centre, or would next."""
        return self.ranking.ranked(topic, datacentre)[:HOMES_KEPT]

    def other_places(self) -> list[Instance]:
        """Return where other data centres' work meets, of the topics that meet here as well."""
        self.refresh()
        return self.kept_places

    def intervals(self) -> dict[str, float]:
        """Return the time between heartbeats to those where work meets, by their addresses."""
        self.refresh()
        return self.kept_intervals

    def refresh(self) -> None:
        """Work out what is kept anew where instances, topics or divisions have changed.

        Every heartbeat asks for it.
        """
        changes = (self.membership.changes, self.division.changes)
        stamp = (*changes, self.ranking.leaving, len(self.topics))
        if self.stamp == stamp:
            return
        self.stamp = stamp
        me = self.membership.me
        datacentres = {one.datacentre for one in self.membership.addressed()}
        self.kept_datacentres = frozenset(datacentres - {me.datacentre})
        self.kept_places = self.find_other_places()
        ranked = [self.ranked(topic)[:HOMES_KEPT] for topic in self.topics]
        self.kept_homes = [one for homes in ranked for one in homes if one is not me]
        intervals = {one.peer: SECOND_HEARTBEAT_MS for homes in ranked for one in homes}
        intervals |= {one.peer: HOME_HEARTBEAT_MS for homes in ranked for one in homes[:1]}
        intervals |= {one.peer: PLACE_HEARTBEAT_MS for one in self.kept_places}
        self.kept_intervals = intervals

    def find_other_places(self) -> list[Instance]:
        """Find where other data centres' work meets, of the topics that meet here as well."""
        found = []
        for topic in self.topics:
            if self.division.is_divided(topic) and self.ranked(topic)[:1] == [self.membership.me]:
                for datacentre in self.kept_datacentres:
                    found += self.places(topic, datacentre)
        return found
