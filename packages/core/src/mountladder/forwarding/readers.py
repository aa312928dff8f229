# readers.py -- Elects the instance that polls the store on behalf of its group
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Elects the instance that polls the store on behalf of its group."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from eliot import log_message
from gevent.event import Event

from mountladder.clocks.clock import Clock
from mountladder.forwarding.beacon import Beacon
from mountladder.membership.instance import Instance

# How often a reader announces that the store answers it. What it reads is announced at once.
PULSE_MS = 300.0
# A reader that has announced nothing for this long counts as failed: two announcements and some
# delay. Together with the time after which an unanswered call is noticed (SourceFollower) this
# stays below the two seconds in which a leaving server may still be used.
SILENCE_MS = 800.0
# How much later than the instance ranked before it each instance takes over. A successor's first
# call takes about 5 ms. From the fourth successor on the store itself is probably down, and since
# calls to it cost money, the steps get longer.
STEP_MS = 100.0
QUICK_STEPS = 3
SLOW_STEP_MS = 400.0
# A new process reads all tables once, and then needs this time to discover its peers.
SETTLE_MS = 400.0
# How often an instance that does not poll the store checks whether it now ranks first. This is well
# within the 4 s that a change may take to be in force everywhere.
RANK_MS = 250.0


class Readers:
    """Decides whether this instance polls the store, or another one does on its behalf.

    The instances of a group (Ranking.near) are ranked by hash. The first one polls the store,
    announces changes to the others, and announces regularly that the store answers it. Each of the
    others takes over when such announcements are missing, after a delay that grows with its rank,
    so that they do not all call a store that is down. Two instances that poll at the same time cost
    some extra calls, and nothing worse.

    Args:
        ranked: Returns the instances of the group by rank, this one included.
        me: This instance.
        clock: The clock.

    Attributes:
        reading: Whether this instance polls the store.
        nudges: Events that are set when a reader stops, or the store stops answering it.
    """

    def __init__(
        self, ranked: Callable[[], Sequence[Instance]], me: Instance, clock: Clock
    ) -> None:
        self.ranked = ranked
        self.me = me
        self.clock = clock
        self.started = clock.now()
        self.fed_until: dict[str, float] = {}
        self.reading = False
        self.ranked_at = float("-inf")
        self.nudges: list[Event] = []

    def hear(self, peer: Instance, beacon: Beacon) -> None:
        """Record from a peer's beacon whether it polls the store and gets answers."""
        now = self.clock.now()
        if beacon.reads and beacon.fed:
            self.fed_until[peer.name] = now + SILENCE_MS
        elif peer.name in self.fed_until:
            self.fed_until[peer.name] = min(now, self.fed_until[peer.name])
            self.nudge()

    def nudge(self) -> None:
        """Have the rank checked at once."""
        self.ranked_at = float("-inf")
        for nudge in self.nudges:
            nudge.set()

    def better(self) -> list[Instance]:
        """Return the instances that rank before this one."""
        better = []
        for one in self.ranked():
            if one.name == self.me.name:
                break
            better.append(one)
        return better

    def has_fed_peer(self) -> bool:
        """Return whether another instance has recently announced that the store answers it."""
        now = self.clock.now()
        return any(until > now for until in self.fed_until.values())

    def idle_ms(self) -> float:
        """Return for how long this instance certainly need not poll the store, in ms.

        No instance takes over before all readers have been silent for a while, except one that has
        come to rank first, which is checked periodically.
        """
        if self.reading:
            return 0.0
        now = self.clock.now()
        fed_until = max(self.fed_until.values(), default=now)
        return max(0.0, min(fed_until, self.ranked_at + RANK_MS) - now)

    def is_due(self) -> bool:
        """Return whether this instance is to poll the store now."""
        if self.idle_ms() > 0.0:
            return False
        self.ranked_at = self.clock.now()
        due = self.decide()
        if due != self.reading:
            self.reading = due
            log_message(
                "store-polling-started" if due else "store-polling-stopped", rank=len(self.better())
            )
        return due

    def decide(self) -> bool:
        """Return whether this instance is to poll the store now, without recording it."""
        now = self.clock.now()
        if now < self.started + SETTLE_MS:
            return False
        better = self.better()
        if not better:
            return True
        # A reader goes on until a higher-ranked instance reads. The others accept any reader, such
        # as one that is leaving and whose successor has not announced itself yet.
        heard = {one.name for one in better} if self.reading else set(self.fed_until)
        fed_until = max((self.fed_until.get(name, 0.0) for name in heard), default=0.0)
        return now >= max(fed_until, self.started) + _patience_ms(len(better))


def _patience_ms(place: int) -> float:
    slow = max(0, place - QUICK_STEPS)
    return STEP_MS * (place - slow) + SLOW_STEP_MS * slow
