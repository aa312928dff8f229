# memberreader.py -- Registers this instance on the platform's list and reads the others from it
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Registers this instance on the platform's list and reads the others from it."""

from __future__ import annotations

from dataclasses import replace

import xxhash
from eliot import log_message
from gevent.event import Event

from mountladder.clocks.clock import Clock
from mountladder.errors import BadRowError, StoreAmbiguousError, StoreUnavailableError
from mountladder.forwarding.fleet import Fleet
from mountladder.forwarding.memberlist import MemberList
from mountladder.forwarding.shareclaim import READ_INTERVAL_MS, ShareClaim
from mountladder.forwarding.updaterequest import UpdateRequest
from mountladder.membership.link import Link
from mountladder.store.eratracker import MAX_COPY_AGE_MS
from mountladder.store.instancelist import InstanceList

# How often it is checked whether the list is to be read, and how soon a failed call is repeated.
CHECK_MS = 1_000.0
# The time over which instances spread their renewed registration: 390 make 195 calls a second.
SPREAD_MS = 2_000


class MemberReader:
    """Registers this instance on the platform's list, and reads the others from it or from peers.

    If this instance polls the store for its reader group, it sends new entries on to the group.

    Args:
        instances: The platform's list.
        fleet: The other instances.
        claim: Is told when this instance was first listed, and when it has read the list.
        clock: The clock.

    Attributes:
        joined: When this instance was first listed, in milliseconds since 1970; 0 until it is.
        read_failed: Whether the list is still to be read since the store did not answer.
        announced_at: When this instance registered itself, or None if it still has to.
    """

    def __init__(
        self, instances: InstanceList, fleet: Fleet, claim: ShareClaim, clock: Clock
    ) -> None:
        self.instances = instances
        self.fleet = fleet
        self.membership = fleet.membership
        self.claim = claim
        self.clock = clock
        self.joined = 0
        self.read_failed = False
        self.announced_at: float | None = None
        self.wake = Event()
        fleet.era_tracker.listeners.append(self.announce_again)
        fleet.on_link_opened = self.request_members
        fleet.subscribe(MemberList, self.receive)

    def run(self) -> None:
        """Register this instance, and read the list periodically, forever."""
        while True:
            try:
                if self.announced_at is None:
                    self.announce()
                if self.must_read():
                    self.read()
            except (StoreUnavailableError, StoreAmbiguousError, BadRowError) as error:
                announced = self.announced_at is not None
                log_message("instance-list-unavailable", reason=str(error), announced=announced)
                self.read_failed = True
            self.wake.clear()
            self.clock.wait(self.wake, CHECK_MS + self.own_delay_ms() * self.claim.cut_off)

    def must_read(self) -> bool:
        """Return whether this instance is to read the list now."""
        age_ms = self.clock.now() - self.claim.read_at
        if self.fleet.reader_election.reading and age_ms >= READ_INTERVAL_MS:
            return True
        # An instance that lost its reader and could not read either was not sent what is new.
        if self.read_failed or not self.membership.listed:
            return True
        # In its first reading others that start at the same time may be missing.
        if self.claim.reads == 1 and age_ms >= READ_INTERVAL_MS + self.own_delay_ms():
            return True
        # What others read while this instance was cut off is not sent to it again.
        return self.claim.cut_off and self.claim.is_list_current()

    def announce(self) -> None:
        """Register this instance, and keep since when its name is listed.

        Raises:
            StoreUnavailableError: The store does not answer.
        """
        me = self.membership.me
        now = int(self.clock.wall())
        if not self.joined:
            earlier = [one for one in self.instances.instances() if one.name == me.name]
            known = (one.joined or one.since or now for one in earlier)
            self.joined = min([now, *known])
        self.instances.announce(replace(me, joined=self.joined))
        self.announced_at = self.clock.now()
        self.claim.listed_at = min(self.claim.listed_at, self.announced_at - (now - self.joined))

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

        delay_ms = self.own_delay_ms()
        log_message("instance-registered-again", after_ms=round(delay_ms))
        self.clock.call_later(delay_ms, announce)

    def own_delay_ms(self) -> float:
        """Return this instance's own delay, by which calls of all instances are spread."""
        return float(xxhash.xxh64_intdigest(self.membership.me.name.encode()) % SPREAD_MS)

    def read(self) -> None:
        """Read the list, and send new entries to the reader group.

        Raises:
            StoreUnavailableError: The store does not answer.
        """
        # Those that this instance has links to may still be unknown to the others of the group.
        before = self.membership.listed
        self.membership.apply_list(self.instances.instances())
        self.claim.record_read()
        self.read_failed = False
        new_ones = self.membership.listed - before
        new = [one for one in self.membership.addressed() if one.incarnation in new_ones]
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
