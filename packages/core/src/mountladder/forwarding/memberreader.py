# memberreader.py -- Reading the platform's list of instances
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Reading the platform's list of instances."""

from __future__ import annotations

import xxhash
from eliot import log_message
from gevent.event import Event

from mountladder.clocks.clock import Clock
from mountladder.errors import StoreAmbiguousError, StoreUnavailableError
from mountladder.forwarding.fleet import Fleet
from mountladder.forwarding.memberlist import MemberList
from mountladder.forwarding.want import Want
from mountladder.membership.link import Link
from mountladder.store.eratracker import MAX_COPY_AGE_MS
from mountladder.store.instancelist import InstanceList

# How often the list is read again; new instances make themselves known before.
READ_MS = 20_000.0
RETRY_MS = 1_000.0
# Over which time instances make themselves known again: 390 make 195 calls a second.
SPREAD_MS = 2_000


class MemberReader:
    """Makes this instance known on the platform's list, and reads the others from it or from peers.

    Those that leave the store to this instance are told what a reading has brought.

    Args:
        instances: The platform's list.
        fleet: The other instances.
        clock: The clock.

    Attributes:
        announced_at: When this instance made itself known, or None where it has to yet.
    """

    def __init__(self, instances: InstanceList, fleet: Fleet, clock: Clock) -> None:
        self.instances = instances
        self.fleet = fleet
        self.membership = fleet.membership
        self.clock = clock
        self.announced_at: float | None = None
        self.wake = Event()
        fleet.eras.listeners.append(self.announce_again)
        fleet.on_reached = self.ask
        fleet.subscribe(MemberList, self.take)

    def run(self) -> None:
        """Announce this instance, and read the list now and then, for ever."""
        while True:
            pause_ms = READ_MS
            try:
                if self.announced_at is None:
                    self.instances.announce(self.membership.me)
                    self.announced_at = self.clock.now()
                if self.fleet.readers.reading or not self.membership.listed:
                    self.read()
            except (StoreUnavailableError, StoreAmbiguousError) as error:
                announced = self.announced_at is not None
                log_message("instances-unread", reason=str(error), announced=announced)
                pause_ms = RETRY_MS
            self.wake.clear()
            self.clock.wait(self.wake, pause_ms)

    def announce_again(self) -> None:
        """Make this instance known again where a store that came back older may not know it.

        Only those do that started lately, spread over some time, so that a whole fleet that has
        just started stays well below what the store takes in a second.
        """
        now = self.clock.now()
        if self.announced_at is None or now - self.announced_at > MAX_COPY_AGE_MS:
            return

        def announce() -> None:
            """Have it done."""
            self.announced_at = None
            self.wake.set()

        # By hash, so that each has its own moment.
        delay_ms = float(xxhash.xxh64_intdigest(self.membership.me.name.encode()) % SPREAD_MS)
        log_message("announced-again", after_ms=round(delay_ms))
        self.clock.call_later(delay_ms, announce)

    def read(self) -> None:
        """Read the list, and tell of what is new there.

        Raises:
            StoreUnavailableError: The store does not answer.
        """
        before = {one.incarnation for one in self.membership.known.values()}
        self.membership.observe(self.instances.instances())
        new = [one for one in self.membership.addressed() if one.incarnation not in before]
        if self.fleet.readers.reading:
            self.fleet.tell_members(new, self.fleet.near_links())
        self.fleet.retarget.set()
        log_message("instances-read", known=len(self.membership.known))

    def ask(self, link: Link) -> None:
        """Ask a peer which instances there are, where the platform's list could not be read.

        To tell everybody who connects takes 19 KB and 4 ms a link with 195 instances.
        """
        if not self.membership.listed:
            self.fleet.send_later(link, Want(-1, None, members=True))

    def take(self, message: MemberList, link: Link) -> None:
        """Take in instances that a peer knows."""
        for instance in message.instances:
            self.membership.mention(instance)
        self.fleet.retarget.set()
