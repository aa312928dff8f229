# memberreader.py -- Registers this instance on the platform's list and reads the others from it
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Registers this instance on the platform's list and reads the others from it."""

from __future__ import annotations

import xxhash
from eliot import log_message
from gevent.event import Event

from mountladder.clocks.clock import Clock
from mountladder.errors import StoreAmbiguousError, StoreUnavailableError
from mountladder.forwarding.fleet import Fleet
from mountladder.forwarding.memberlist import MemberList
from mountladder.forwarding.updaterequest import UpdateRequest
from mountladder.membership.link import Link
from mountladder.store.eratracker import MAX_COPY_AGE_MS
from mountladder.store.instancelist import InstanceList

# How often the list is read again; new instances connect to their peers before.
READ_INTERVAL_MS = 20_000.0
RETRY_MS = 1_000.0
# The time over which instances spread their renewed registration: 390 make 195 calls a second.
SPREAD_MS = 2_000


class MemberReader:
    """Registers this instance on the platform's list, and reads the others from it or from peers.

    If this instance polls the store for its reader group, it sends new entries on to the group.

    Args:
        instances: The platform's list.
        fleet: The other instances.
        clock: The clock.

    Attributes:
        announced_at: When this instance registered itself, or None if it still has to.
    """

    def __init__(self, instances: InstanceList, fleet: Fleet, clock: Clock) -> None:
        self.instances = instances
        self.fleet = fleet
        self.membership = fleet.membership
        self.clock = clock
        self.announced_at: float | None = None
        self.wake = Event()
        fleet.era_tracker.listeners.append(self.announce_again)
        fleet.on_link_opened = self.request_members
        fleet.subscribe(MemberList, self.receive)

    def run(self) -> None:
        """Register this instance, and read the list periodically, forever."""
        while True:
            pause_ms = READ_INTERVAL_MS
            try:
                if self.announced_at is None:
                    self.instances.announce(self.membership.me)
                    self.announced_at = self.clock.now()
                if self.fleet.reader_election.reading or not self.membership.listed:
                    self.read()
            except (StoreUnavailableError, StoreAmbiguousError) as error:
                announced = self.announced_at is not None
                log_message("instance-list-unavailable", reason=str(error), announced=announced)
                pause_ms = RETRY_MS
            self.wake.clear()
            self.clock.wait(self.wake, pause_ms)

    def announce_again(self) -> None:
        """Register this instance again if a restored store may have lost its entry.

        Only instances that started recently can be affected. They spread their calls, so that a
        fleet that has just started stays well below the rate that the store sustains.
        """
        now = self.clock.now()
        if self.announced_at is None or now - self.announced_at > MAX_COPY_AGE_MS:
            return

        def announce() -> None:
            """Wake the loop to register again."""
            self.announced_at = None
            self.wake.set()

        # A hash of the name gives each instance its own delay.
        delay_ms = float(xxhash.xxh64_intdigest(self.membership.me.name.encode()) % SPREAD_MS)
        log_message("instance-registered-again", after_ms=round(delay_ms))
        self.clock.call_later(delay_ms, announce)

    def read(self) -> None:
        """Read the list, and send new entries to the reader group.

        Raises:
            StoreUnavailableError: The store does not answer.
        """
        before = {one.incarnation for one in self.membership.known.values()}
        self.membership.apply_list(self.instances.instances())
        new = [one for one in self.membership.addressed() if one.incarnation not in before]
        if self.fleet.reader_election.reading:
            self.fleet.send_members(new, self.fleet.reader_group_links())
        self.fleet.retarget.set()
        log_message("instances-read", known=len(self.membership.known))

    def request_members(self, link: Link) -> None:
        """Request the known instances from a peer if the platform's list could not be read.

        They are not sent to every peer unasked, since that takes 19 KB and 4 ms a link with 195
        instances.
        """
        if not self.membership.listed:
            self.fleet.send_later(link, UpdateRequest(-1, None, members=True))

    def receive(self, message: MemberList, link: Link) -> None:
        """Add the instances that a peer knows."""
        for instance in message.instances:
            self.membership.add_reported(instance)
        self.fleet.retarget.set()
