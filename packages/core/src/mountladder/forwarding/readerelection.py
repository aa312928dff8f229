# readerelection.py -- Elects the instance that polls the store on behalf of its group
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
READER_BEACON_MS = 300.0
# A reader that has announced nothing for this long counts as failed: two announcements and some
# delay. Together with the time after which an unanswered call is noticed (SourceFollower) this
# stays below the two seconds in which a leaving server may still be used.
READER_SILENCE_MS = 800.0
# How much later than the instance ranked before it each instance takes over. A successor's first
# call takes about 5 ms. From the fourth successor on the store itself is probably down, and since
# calls to it cost money, the steps get longer.
TAKEOVER_STEP_MS = 100.0
QUICK_TAKEOVERS = 3
SLOW_TAKEOVER_STEP_MS = 400.0
# A new process reads all tables once, and then needs this time to discover its peers.
DISCOVERY_MS = 400.0
# How often an instance that does not poll the store checks whether it now ranks first. This is well
# within the 4 s that a change may take to be in force everywhere.
RANK_CHECK_MS = 250.0


class ReaderElection:
    """Decides whether this instance polls the store, or another one does on its behalf.

    The instances of a group (Ranking.reader_group) are ranked by hash. The first one polls the
    store, announces changes to the others, and announces regularly that the store answers it. Each
    of the others takes over when such announcements are missing, after a delay that grows with its
    rank, so that they do not all call a store that is down. Two instances that poll at the same
    time cost some extra calls, and nothing worse.

    Args:
        ranked: Returns the instances of the group by rank, this one included.
        me: This instance.
        clock: The clock.

    Attributes:
        reading: Whether this instance polls the store.
        wake_events: Events that are set when a reader stops, or the store stops answering it.
    """

    def __init__(
        self, ranked: Callable[[], Sequence[Instance]], me: Instance, clock: Clock
    ) -> None:
        self.ranked = ranked
        self.me = me
        self.clock = clock
        self.started = clock.now()
        self.answered_until: dict[str, float] = {}
        self.reading = False
        self.rank_checked_at = float("-inf")
        self.wake_events: list[Event] = []

    def record(self, peer: Instance, beacon: Beacon) -> None:
        """Record from a peer's beacon whether it polls the store and gets answers."""
        now = self.clock.now()
        if beacon.reads_store and beacon.store_answers:
            self.answered_until[peer.name] = now + READER_SILENCE_MS
        elif peer.name in self.answered_until:
            self.answered_until[peer.name] = min(now, self.answered_until[peer.name])
            self.wake()

    def wake(self) -> None:
        """Have the rank checked at once."""
        self.rank_checked_at = float("-inf")
        for wake in self.wake_events:
            wake.set()

    def higher_ranked(self) -> list[Instance]:
        """Return the instances that rank before this one."""
        higher_ranked = []
        for one in self.ranked():
            if one.name == self.me.name:
                break
            higher_ranked.append(one)
        return higher_ranked

    def has_live_reader(self) -> bool:
        """Return whether another instance has recently announced that the store answers it."""
        now = self.clock.now()
        return any(until > now for until in self.answered_until.values())

    def idle_ms(self) -> float:
        """Return for how long this instance certainly need not poll the store, in ms.

        No instance takes over before all readers have been silent for a while, except one that has
        come to rank first, which is checked periodically.
        """
        if self.reading:
            return 0.0
        now = self.clock.now()
        answered_until = max(self.answered_until.values(), default=now)
        return max(0.0, min(answered_until, self.rank_checked_at + RANK_CHECK_MS) - now)

    def is_due(self) -> bool:
        """Return whether this instance is to poll the store now."""
        if self.idle_ms() > 0.0:
            return False
        self.rank_checked_at = self.clock.now()
        due = self.decide()
        if due != self.reading:
            self.reading = due
            log_message(
                "store-polling-started" if due else "store-polling-stopped",
                rank=len(self.higher_ranked()),
            )
        return due

    def decide(self) -> bool:
        """Return whether this instance is to poll the store now, without recording it."""
        now = self.clock.now()
        if now < self.started + DISCOVERY_MS:
            return False
        higher_ranked = self.higher_ranked()
        if not higher_ranked:
            return True
        # A reader goes on until a higher-ranked instance reads. The others accept any reader, such
        # as one that is leaving and whose successor has not announced itself yet.
        relevant = {one.name for one in higher_ranked} if self.reading else set(self.answered_until)
        answered_until = max((self.answered_until.get(name, 0.0) for name in relevant), default=0.0)
        return now >= max(answered_until, self.started) + _takeover_delay_ms(len(higher_ranked))


def _takeover_delay_ms(rank: int) -> float:
    slow = max(0, rank - QUICK_TAKEOVERS)
    return TAKEOVER_STEP_MS * (rank - slow) + SLOW_TAKEOVER_STEP_MS * slow
