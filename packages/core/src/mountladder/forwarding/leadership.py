# leadership.py -- Decides whether this instance is certain to coordinate a topic
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Decides whether this instance is certain to coordinate a topic."""

from __future__ import annotations

from mountladder.clocks.clock import Clock
from mountladder.forwarding.coordinators import COORDINATORS_PER_TOPIC
from mountladder.forwarding.fleet import Fleet

# After this time since its start an instance knows all others: it reads their list within about
# 10 ms, and redials those that do not answer at once after 250 ms.
LEAD_AFTER_MS = 1_000.0
# How long a result is cached: computing it checks every link, and every prompt needs it while
# servers are cold. A silent link is detected after three heartbeats, at least 750 ms, so little is
# lost.
CACHE_MS = 50.0
# How often it is checked which topics another instance coordinates.
WATCH_MS = 200.0
# An instance that takes over does not know what the former coordinator has sent, and waits until
# that is more than a second ago.
TAKEOVER_MS = 1_000.0 + WATCH_MS
# The fraction of a common limit that all instances together may spend which cannot leave it to a
# certain coordinator. Servers tolerate half as much again over their limit.
ALONE_FRACTION = 0.4


class Leadership:
    """Decides whether this instance coordinates a topic, and not just because it reaches no other.

    Restricts an action to at most a few instances without consensus. An instance leads only if it
    is among the highest ranked, has had the time to discover the others, and reaches at least half
    of those it keeps links to. One that is partitioned off, or has just started, or knows no others
    because it could not read their list, does not lead. One that takes over leads after a
    second.

    Args:
        fleet: The other instances.
        clock: The clock.

    Attributes:
        followed_at: When another instance was last seen to coordinate a topic, by topic.
    """

    def __init__(self, fleet: Fleet, clock: Clock) -> None:
        self.fleet = fleet
        self.clock = clock
        self.started = clock.now()
        self.followed_at: dict[str, float] = {}
        self.cache: dict[str, tuple[float, bool]] = {}

    def run(self) -> None:
        """Watch which topics other instances coordinate, forever."""
        while True:
            self.clock.sleep(WATCH_MS)
            now = self.clock.now()
            for topic in list(self.fleet.coordinators.topics):
                if self.fleet.coordinator(topic) is not None:
                    self.followed_at[topic] = now

    def leads(self, topic: str) -> bool:
        """Return whether this instance is certain to coordinate a topic."""
        now = self.clock.now()
        if now < self.started + LEAD_AFTER_MS:
            return False
        until, answer = self.cache.get(topic, (now, False))
        if until <= now:
            took_over = now < self.followed_at.get(topic, float("-inf")) + TAKEOVER_MS
            answer = self.reaches_most(topic) and not took_over
            self.cache[topic] = (now + CACHE_MS, answer)
        return answer

    def fraction(self, topic: str) -> float:
        """Return what fraction of a server's common limit this instance may spend."""
        if self.leads(topic):
            return 1.0
        return ALONE_FRACTION * self.count_served(topic) / self.fleet.membership.budget_sharers()

    def count_served(self, topic: str) -> int:
        """Return how many instances this instance decides for: itself, or also those it reaches.

        Instances on the other side of a partition leave their work to a coordinator there.
        """
        if self.fleet.coordinator(topic) is not None:
            return 1
        return 1 + self.fleet.count_answering()

    def reaches_most(self, topic: str) -> bool:
        """Return whether this instance is a topic's coordinator and reaches most others."""
        members = self.fleet.membership
        if not (members.listed or members.known):
            return False
        candidates = self.fleet.coordinators.ranked(topic)[:COORDINATORS_PER_TOPIC]
        if members.me not in candidates or self.fleet.coordinator(topic) is not None:
            return False
        return 2 * self.fleet.count_answering() >= len(self.fleet.dialers)
