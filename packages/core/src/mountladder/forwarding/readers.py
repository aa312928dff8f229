# readers.py -- Which instances follow the store for those near them
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Which instances follow the store for those near them."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from eliot import log_message
from gevent.event import Event

from mountladder.clocks.clock import Clock
from mountladder.forwarding.beacon import Beacon
from mountladder.membership.instance import Instance

# How often a reader tells that the store answers it; what it reads is told at once.
PULSE_MS = 300.0
# A reader that was not heard of for this long is taken to be cut off: two pulses and some delay.
# With the time after which a feed counts as silent (SourceFollower) it stays below the two
# seconds in which a leaving server may still be used (the users' sheets).
SILENCE_MS = 800.0
# How much later than the one before it each instance steps in. A successor's first call takes some
# 5 ms; from the fourth on the store itself is likely to be away, and calls to it are priced.
STEP_MS = 100.0
QUICK_STEPS = 3
SLOW_STEP_MS = 400.0
# A process that has just started reads everything once, and then learns who is there.
SETTLE_MS = 400.0
# How often an instance that leaves the store to others looks whether it has come to rank first,
# well within the time that a change has until it is in force everywhere (4 s, the users' sheets).
RANK_MS = 250.0


class Readers:
    """Tells whether this instance follows the store, or leaves that to another one near it.

    The instances near each other rank themselves by hash. The first one follows the store and
    tells the others what is new and that the store answers. Each of the others steps in where
    nobody has said so lately, the later the lower its rank, so that not all of them call a store
    that is away. Two that both follow the store cost some calls, and nothing worse.

    Args:
        ranked: Returns the instances near this one by rank, this one included.
        me: This instance.
        clock: The clock.

    Attributes:
        reading: Whether this instance follows the store.
        nudges: Set when one that follows the store stops, or is not answered any more.
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
        """Take in whether a peer follows the store and is answered."""
        now = self.clock.now()
        if beacon.reads and beacon.fed:
            self.fed_until[peer.name] = now + SILENCE_MS
        elif peer.name in self.fed_until:
            self.fed_until[peer.name] = min(now, self.fed_until[peer.name])
            self.nudge()

    def nudge(self) -> None:
        """Have the rank looked at at once."""
        self.ranked_at = float("-inf")
        for nudge in self.nudges:
            nudge.set()

    def better(self) -> list[Instance]:
        """Return the instances that are to follow the store rather than this one."""
        better = []
        for one in self.ranked():
            if one.name == self.me.name:
                break
            better.append(one)
        return better

    def has_fed_peer(self) -> bool:
        """Tell whether some other instance has said lately that the store answers it."""
        now = self.clock.now()
        return any(until > now for until in self.fed_until.values())

    def idle_ms(self) -> float:
        """Return how long this instance has surely nothing to do with the store.

        Nobody steps in before all that follow it have been silent for a while; only the one that
        ranks first does, which looks at its rank now and then.
        """
        if self.reading:
            return 0.0
        now = self.clock.now()
        fed_until = max(self.fed_until.values(), default=now)
        return max(0.0, min(fed_until, self.ranked_at + RANK_MS) - now)

    def is_due(self) -> bool:
        """Tell whether this instance is to follow the store now."""
        if self.idle_ms() > 0.0:
            return False
        self.ranked_at = self.clock.now()
        due = self.decide()
        if due != self.reading:
            self.reading = due
            log_message("reader" if due else "no-reader", rank=len(self.better()))
        return due

    def decide(self) -> bool:
        """Return what `is_due` does, without remembering it."""
        now = self.clock.now()
        if now < self.started + SETTLE_MS:
            return False
        better = self.better()
        if not better:
            return True
        # One that follows the store goes on until a better ranked one does; others are content
        # with whoever does, such as one that is leaving and whose successor has not spoken yet.
        heard = {one.name for one in better} if self.reading else set(self.fed_until)
        fed_until = max((self.fed_until.get(name, 0.0) for name in heard), default=0.0)
        return now >= max(fed_until, self.started) + _patience_ms(len(better))


def _patience_ms(place: int) -> float:
    slow = max(0, place - QUICK_STEPS)
    return STEP_MS * (place - slow) + SLOW_STEP_MS * slow
