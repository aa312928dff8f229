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

    def leads(self, topic: str) -> bool:
        """Tell whether the work of a topic surely meets here."""
        if self.clock.now() < self.started + LEAD_AFTER_MS:
            return False
        firsts = self.fleet.contacts.ranked(topic)[:HOMES_KEPT]
        if self.fleet.membership.me not in firsts or self.fleet.home(topic) is not None:
            return False
        reached = sum(self.fleet.is_answering(link) for link in self.fleet.links.values())
        return 2 * reached >= len(self.fleet.dialers)
