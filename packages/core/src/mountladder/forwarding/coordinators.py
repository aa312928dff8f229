# coordinators.py -- Finds the coordinators of shared work and the peers to keep links to for it
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Finds the coordinators of shared work and the peers to keep links to for it."""

from __future__ import annotations

from eliot import log_message

from mountladder.forwarding.catalogue import Catalogue
from mountladder.forwarding.division import Division
from mountladder.forwarding.ranking import Ranking, prompts_topic
from mountladder.membership.instance import Instance
from mountladder.membership.membership import Membership

# In a fleet larger than SMALL_FLEET, links are kept to this many of the highest-ranked instances of
# each topic: the coordinator and its standby.
COORDINATORS_PER_TOPIC = 2
# The interval of heartbeats to a coordinator, so that its failure is detected after three of them
# also in a large fleet, where the interval to other peers grows with their number.
COORDINATOR_HEARTBEAT_MS = 500.0
# The standby only has to be known as alive by the time the coordinator fails.
STANDBY_HEARTBEAT_MS = 1_500.0
# Coordinators of several data centres lend each other work according to how long pieces wait in
# each. In a burst these waits change by the duration of about one call within this interval.
REMOTE_COORDINATOR_HEARTBEAT_MS = 250.0


class Coordinators:
    """Maps each topic of shared work to its coordinator, and lists the peers to keep links to.

    A topic is a service whose pieces are batched, or the prompts of a service. All work of a topic
    goes to one instance, or to one in each data centre, the topic's coordinator. Where servers take
    both, the two topics have the same coordinator, one for all data centres.

    Args:
        membership: The known instances.
        ranking: Ranks the instances for each topic.
        division: Decides which services each data centre coordinates by itself.

    Attributes:
        topics: The topics that need a coordinator.
    """

    def __init__(self, membership: Membership, ranking: Ranking, division: Division) -> None:
        self.membership = membership
        self.ranking = ranking
        self.division = division
        self.topics: set[str] = set()
        self.stamp: object = None
        self.cached_datacentres: frozenset[str] = frozenset()
        self.cached_candidates: list[Instance] = []
        self.cached_remote_candidates: list[Instance] = []
        self.cached_intervals: dict[str, float] = {}

    def add_topics(self, catalogue: Catalogue) -> None:
        """Add the topics of a catalogue's services."""
        pooled = catalogue.pooled_services()
        if pooled != self.ranking.pooled:
            self.ranking.pool(pooled)
            self.division.keep_undivided(pooled)
            self.stamp = None
            log_message("services-pooled", services=sorted(pooled), version=catalogue.version)
        for service in catalogue.services.values():
            if service.batch is not None:
                self.topics.add(service.name)
            if service.slots or service.cold_per_s or service.name in pooled:
                self.topics.add(prompts_topic(service.name))

    def ranked(self, topic: str) -> list[Instance]:
        """Return the candidates to coordinate this instance's work of a topic, the best first."""
        here = self.membership.me.datacentre if self.division.is_divided(topic) else ""
        return self.ranking.ranked(topic, here)

    def other_datacentres(self) -> frozenset[str]:
        """Return the names of the other data centres that have instances."""
        self.refresh()
        return self.cached_datacentres

    def candidates(self) -> list[Instance]:
        """Return the coordinators and standbys of this instance's work, itself excluded."""
        self.refresh()
        return self.cached_candidates

    def candidates_in(self, topic: str, datacentre: str) -> list[Instance]:
        """Return a divided topic's coordinator and standby in another data centre."""
        return self.ranking.ranked(topic, datacentre)[:COORDINATORS_PER_TOPIC]

    def remote_candidates(self) -> list[Instance]:
        """Return the other data centres' candidates for the divided topics coordinated here."""
        self.refresh()
        return self.cached_remote_candidates

    def intervals(self) -> dict[str, float]:
        """Return the heartbeat intervals to coordinators and standbys, in ms, by peer address."""
        self.refresh()
        return self.cached_intervals

    def refresh(self) -> None:
        """Recompute the cached lists if instances, topics or divisions have changed.

        They are cached because every heartbeat needs them.
        """
        changes = (self.membership.changes, self.division.changes)
        stamp = (*changes, self.ranking.leaving, len(self.topics))
        if self.stamp == stamp:
            return
        self.stamp = stamp
        me = self.membership.me
        datacentres = {one.datacentre for one in self.membership.addressed()}
        self.cached_datacentres = frozenset(datacentres - {me.datacentre})
        self.cached_remote_candidates = self.find_remote_candidates()
        ranked = [self.ranked(topic)[:COORDINATORS_PER_TOPIC] for topic in self.topics]
        self.cached_candidates = [
            one for candidates in ranked for one in candidates if one is not me
        ]
        intervals = {one.peer: STANDBY_HEARTBEAT_MS for candidates in ranked for one in candidates}
        intervals |= {
            one.peer: COORDINATOR_HEARTBEAT_MS for candidates in ranked for one in candidates[:1]
        }
        intervals |= {
            one.peer: REMOTE_COORDINATOR_HEARTBEAT_MS for one in self.cached_remote_candidates
        }
        self.cached_intervals = intervals

    def find_remote_candidates(self) -> list[Instance]:
        """Find the other data centres' candidates for the divided topics coordinated here."""
        found = []
        for topic in self.topics:
            if self.division.is_divided(topic) and self.ranked(topic)[:1] == [self.membership.me]:
                for datacentre in self.cached_datacentres:
                    found += self.candidates_in(topic, datacentre)
        return found
