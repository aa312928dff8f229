# leadership.py -- Whether work surely meets on this instance
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Whether work surely meets on this instance."""

from __future__ import annotations

from mountladder.clocks.clock import Clock
from mountladder.forwarding.contacts import HOMES_KEPT
from mountladder.forwarding.fleet import Fleet

# How long after its start an instance has heard of all others: it reads their list within some
# 10 ms, and dials those that do not answer at once again after 250 ms.
LEAD_AFTER_MS = 1_000.0
# For how long an answer is kept: it looks at each link, and every prompt asks while servers are
# cold. Silence of a link takes three heartbeats to show, at least 750 ms.
KEPT_MS = 50.0
# Those that cannot leave it to the instance where work surely meets spend this part of a common
# limit, all of them together. Half as much again is borne.
ALONE_PART = 0.4


class Leadership:
    """Tells whether a topic's work surely meets here, not only since nobody else is reached.

    For what may be done by a few instances at most, without an agreement: only the first by rank
    qualify, once they had the time to hear of the others, and while they reach at least half of
    those they talk to. One that is cut off, or does not know the others yet, does not.

    Args:
        fleet: The other instances.
        clock: The clock.
    """

    def __init__(self, fleet: Fleet, clock: Clock) -> None:
        self.fleet = fleet
        self.clock = clock
        self.started = clock.now()
        self.kept: dict[str, tuple[float, bool]] = {}

    def leads(self, topic: str) -> bool:
        """Tell whether the work of a topic surely meets here."""
        now = self.clock.now()
        if now < self.started + LEAD_AFTER_MS:
            return False
        until, answer = self.kept.get(topic, (now, False))
        if until <= now:
            answer = self.reaches_most(topic)
            self.kept[topic] = (now + KEPT_MS, answer)
        return answer

    def part(self, topic: str) -> float:
        """Return which part of what all may send to a server together may be sent from here."""
        if self.leads(topic):
            return 1.0
        return ALONE_PART * self.served(topic) / self.fleet.membership.sharing()

    def served(self, topic: str) -> int:
        """Return for how many instances this one decides: itself, and those that it reaches.

        Those behind a cut leave their work to the first one there.
        """
        if self.fleet.home(topic) is not None:
            return 1
        return 1 + self.reached()

    def reaches_most(self, topic: str) -> bool:
        """Tell whether this instance is among the first, meets none before it, and most others."""
        firsts = self.fleet.contacts.ranked(topic)[:HOMES_KEPT]
        if self.fleet.membership.me not in firsts or self.fleet.home(topic) is not None:
            return False
        return 2 * self.reached() >= len(self.fleet.dialers)

    def reached(self) -> int:
        """Return how many of the others answer this instance."""
        return sum(self.fleet.is_answering(link) for link in self.fleet.links.values())
