# shareclaim.py -- Decides whether this instance may take its part of what all instances share
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Decides whether this instance may take its part of what all instances share."""

from __future__ import annotations

import math
from collections.abc import Callable

from eliot import log_message

from mountladder.clocks.clock import Clock
from mountladder.clocks.timer import MS_PER_SECOND
from mountladder.forwarding.beacon import Beacon
from mountladder.forwarding.ranking import SMALL_FLEET
from mountladder.membership.instance import Instance
from mountladder.membership.membership import Membership

# How often the list of instances is read again.
READ_INTERVAL_MS = 20_000.0
# An instance that knows of no reading of the list in this time may be cut off.
MAX_AGE_MS = READ_INTERVAL_MS + 10_000.0
# How long after an instance was listed all others count it or are cut off: the list is read by one
# instance of each data centre, which passes it on.
COUNTED_AFTER_MS = MAX_AGE_MS + 2_000.0
CHECK_MS = 250.0
# Beacons tell ages in steps of this, since they are kept encoded.
AGE_STEP_S = 2
STEP_MS = AGE_STEP_S * MS_PER_SECOND
MAX_STEPS = 60


class ShareClaim:
    """Decides whether this instance may take its part of what all instances share.

    The whole is divided by the number of known instances, so that each instance that takes a part
    has to be counted by all others which do:

    - An instance is counted once the others have had the time to read its name from the list, or,
      in a small fleet, once it has heard from each of them, since they have heard from it as well.
      It waits for one window more, in which the others may have spent larger parts. What counts is
      its name: a process that starts again is counted already.
    - An instance of a large fleet counts all others itself once it has read the list twice: others
      that start at the same time are missing in its first reading, and peers tell it only of those
      that are listed later.
    - An instance that is cut off from the store may miss others that start. It takes no part until
      it has read the list again. In a small fleet that applies only while a peer is silent as well,
      since others that start would connect to one that is in touch.

    Args:
        membership: The known instances.
        window_ms: Returns the length of the window in which the parts are spent, in milliseconds.
        clock: The clock.

    Attributes:
        reads: How often this instance has read the list.
        read_at: When it last read the list.
        told_at: When a peer that passes news of the list on to it had last read it.
        all_answer: Returns whether all instances that this one keeps links to answer.
        listed_at: When its name was first listed, in the clock's milliseconds; infinite until the
            list was read.
        heard: The names of the instances that it has heard from.
        unheard_at: When it last knew an instance that it had never heard from.
        cut_off: Whether it has been cut off, and has not read the list since.
        taken: Whether it took its part when that was last checked.
    """

    def __init__(
        self, membership: Membership, window_ms: Callable[[], float], clock: Clock
    ) -> None:
        self.membership = membership
        self.window_ms = window_ms
        self.clock = clock
        self.started_at = clock.now()
        self.reads = 0
        self.read_at = self.told_at = -math.inf
        self.all_answer: Callable[[], bool] = lambda: True
        self.listed_at = math.inf
        self.heard: set[str] = set()
        self.unheard_at = self.started_at
        self.cut_off = False
        self.taken = False
        self.checked_at = -math.inf

    def run(self) -> None:
        """Watch which instances are heard of and whether this one is cut off, forever."""
        while True:
            self.check()
            self.clock.sleep(CHECK_MS)

    def may_take(self) -> bool:
        """Return whether this instance may take its part at present."""
        # A process that was suspended has not checked meanwhile.
        if self.clock.now() - self.checked_at > CHECK_MS:
            self.check()
        return self.taken

    def record_read(self) -> None:
        """Record that the list of instances was read."""
        self.reads += 1
        self.read_at = self.clock.now()
        self.cut_off = False
        self.check()

    def record_beacon(self, peer: Instance, beacon: Beacon) -> None:
        """Record when a peer has read the list, if it passes on to this one what is new in it."""
        here = self.membership.me.datacentre
        if not beacon.reads_store or not (peer.datacentre == here or self.is_small()):
            return
        age_ms = MS_PER_SECOND * beacon.members_age_s
        if not age_ms:
            # Builds of before do not tell it.
            age_ms = READ_INTERVAL_MS if beacon.store_answers else math.inf
        self.told_at = max(self.told_at, self.clock.now() - age_ms)

    def members_age_s(self) -> int:
        """Return how old the last reading of the list is, in seconds, for a beacon."""
        steps = min((self.clock.now() - self.read_at) / STEP_MS, MAX_STEPS)
        return AGE_STEP_S * max(1, math.ceil(steps))

    def is_small(self) -> bool:
        """Return whether the fleet is so small that all instances keep links to each other."""
        return len(self.membership.known) <= SMALL_FLEET

    def check(self) -> None:
        """Check whether this instance is cut off, and whether all others count it."""
        now = self.checked_at = self.clock.now()
        known = self.membership.known
        if self.is_small():
            seen = self.membership.last_seen
            self.heard |= {name for name, one in known.items() if one.incarnation in seen}
            if not known.keys() <= self.heard:
                self.unheard_at = now
        if not self.is_list_current() and not (self.is_small() and self.all_answer()):
            self.cut_off = True
        taken = not self.cut_off and self.is_counted()
        if taken != self.taken:
            self.taken = taken
            self.log()

    def is_list_current(self) -> bool:
        """Return whether the list was read lately, or this process has just started."""
        at = max(self.read_at, self.told_at, self.started_at)
        return self.clock.now() - at <= MAX_AGE_MS

    def is_counted(self) -> bool:
        """Return whether all others that take a part count this instance."""
        now, window_ms = self.clock.now(), self.window_ms()
        if math.isinf(self.listed_at):
            return False
        has_list = self.is_small() or self.reads > 1
        if has_list and now - self.listed_at >= COUNTED_AFTER_MS + window_ms:
            return True
        return self.is_small() and now - self.unheard_at >= window_ms

    def log(self) -> None:
        """Log whether this instance takes its part, and what that is based on."""
        now = self.clock.now()
        age_ms = now - max(self.read_at, self.told_at)
        log_message(
            "reserve-claim",
            taken=self.taken,
            cut_off=self.cut_off,
            known=len(self.membership.known),
            list_age_ms=round(age_ms) if age_ms < math.inf else None,
            listed_ms=round(now - self.listed_at),
            heard_ms=round(now - self.unheard_at),
        )
