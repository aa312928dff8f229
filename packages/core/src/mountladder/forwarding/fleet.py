# fleet.py -- What instances that forward requests tell each other
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""What instances that forward requests tell each other."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from functools import singledispatchmethod

from eliot import log_message

from mountladder.clocks.clock import Clock
from mountladder.forwarding.backlog import Backlog
from mountladder.forwarding.beacon import Beacon
from mountladder.forwarding.catalogue import Catalogue
from mountladder.forwarding.cataloguefollower import CatalogueFollower
from mountladder.forwarding.catalogueslice import CatalogueSlice
from mountladder.forwarding.cataloguetransfer import CatalogueTransfer
from mountladder.forwarding.contacts import Contacts
from mountladder.forwarding.directory import Directory
from mountladder.forwarding.directorycopy import DirectoryCopy
from mountladder.forwarding.division import Division
from mountladder.forwarding.memberlist import MemberList
from mountladder.forwarding.messageparts import directory_copies, parts_of
from mountladder.forwarding.ranking import SMALL_FLEET, Ranking
from mountladder.forwarding.reach import Reach
from mountladder.forwarding.readers import Readers
from mountladder.forwarding.want import Want
from mountladder.membership.instance import Instance
from mountladder.membership.link import Link
from mountladder.membership.linkkeeper import LinkKeeper
from mountladder.membership.membership import MISSED_HEARTBEATS, Membership
from mountladder.membership.network import Network
from mountladder.metrics.metrics import Metrics
from mountladder.store.eratracker import EraTracker
from mountladder.store.position import Position

# How long the store's own news of a change is waited for before a peer is asked for it.
STORE_FIRST_MS = 150.0
# Several changes are often read at once; news of them goes out in one message.
TELL_MS = 15.0


class Fleet(LinkKeeper):
    """Keeps in touch with other instances: who lives, what is newest, where pieces meet.

    Args:
        membership: Which instances there are.
        network: Opens links.
        clock: The clock.
        metrics: Where bytes and errors are counted.
        seeds: Addresses of instances to start from.
        follower: The catalogue in force.
        directory: The list of backend servers.

    Attributes:
        contacts: Tells where the work of each topic meets.
        division: Tells which services each data centre works on by itself.
        peer_gone: Called with the link that a peer had opened when it is lost.
        eras: Notices that the store has come back from an older copy.
        backlogs: Returns how long pieces wait that meet on this instance.
        on_backlog: Takes how long pieces wait that meet on a peer, and its data centre.
    """

    answered = True

    def __init__(
        self,
        membership: Membership,
        network: Network,
        clock: Clock,
        metrics: Metrics,
        seeds: tuple[str, ...],
        follower: CatalogueFollower,
        directory: Directory,
    ) -> None:
        super().__init__(membership, network, clock, metrics, seeds)
        self.follower = follower
        self.directory = directory
        self.eras = EraTracker()
        self.transfer = CatalogueTransfer(follower, clock, self.send)
        self.ranking = Ranking(membership)
        self.division = Division(directory, membership.me.datacentre)
        self.contacts = Contacts(membership, self.ranking, self.division)
        self.reach = Reach(membership)
        self.readers = Readers(self.ranking.near, membership.me, clock)
        self.is_fed: Callable[[], bool] = lambda: False
        self.telling = False
        self.backlogs: Callable[[], tuple[Backlog, ...]] = tuple
        self.on_backlog: Callable[[Backlog, str], None] = lambda backlog, datacentre: None
        self.peer_gone: list[Callable[[Link], None]] = []
        self.subscribe(CatalogueSlice, self.transfer.take)
        follower.listeners.append(self.learn_topics)
        follower.listeners.append(lambda catalogue: self.tell_soon())
        directory.listeners.append(self.tell_soon)

    def learn_topics(self, catalogue: Catalogue) -> None:
        """Get in touch with those where work meets before the first request needs them.

        An instance without a link to them works alone, and its calls crowd those of all others.
        """
        self.contacts.learn(catalogue)
        self.retarget.set()

    def places(self, service: str) -> dict[str, Link]:
        """Return links to where a divided service's pieces meet in the other data centres."""
        found = {}
        for datacentre in self.contacts.other_datacentres():
            for one in self.contacts.places(service, datacentre):
                link = self.links.get(one.peer)
                if link is not None and self.is_usable(link):
                    found[datacentre] = link
                    break
        return found

    def watch_datacentres(self) -> None:
        """Judge which data centres are cut off, where this instance is in touch with them."""
        if self.reach.judge({one.datacentre for one in self.contacts.other_places()}):
            self.pulse()
        self.follow_reach()

    def follow_reach(self) -> None:
        """Leave out the data centres that are cut off, and move what was left to them."""
        cut = self.reach.cut_off()
        lost = cut - self.directory.avoided
        if cut == self.directory.avoided:
            return
        log_message("datacentres-avoided", now=sorted(cut), before=sorted(self.directory.avoided))
        self.directory.avoid(cut)
        for address, link in list(self.links.items()):
            if link.peer.datacentre in lost:
                self.on_link_lost(address)

    def is_usable(self, link: Link) -> bool:
        """Tell whether work may be left to the other end of a link."""
        return link.peer.datacentre not in self.directory.avoided and self.is_answering(link)

    def targets(self) -> list[Instance]:
        """Return the instances to keep a link to."""
        known = self.membership.addressed()
        if len(known) <= SMALL_FLEET:
            return known
        chosen = {one.name: one for one in super().targets()}
        shared = [*self.contacts.homes(), *self.contacts.other_places()]
        chosen |= {one.name: one for one in shared}
        return list(chosen.values())

    def interval_ms(self, address: str) -> float:
        """Return the time between heartbeats to a peer, in milliseconds."""
        usual_ms = super().interval_ms(address)
        return min(usual_ms, self.contacts.intervals().get(address, usual_ms))

    def is_alive(self, peer: Instance) -> bool:
        """Tell whether a peer was heard of within its last heartbeats."""
        limit_ms = MISSED_HEARTBEATS * self.interval_ms(peer.peer)
        return self.membership.silence_ms(peer) <= limit_ms

    def home(self, service: str) -> Link | None:
        """Return the link to the instance where a service's pieces meet; None for this one."""
        self.contacts.topics.add(service)
        for one in self.contacts.ranked(service):
            if one is self.membership.me:
                return None
            link = self.links.get(one.peer)
            if link is not None and self.is_usable(link):
                return link
        return None

    def heartbeat(self) -> Beacon:
        """Return this instance's sign of life."""
        return self.beacon(asks=True)

    def beacon(self, asks: bool) -> Beacon:
        """Return a sign of life that is to be answered, or an answer to one."""
        return Beacon(
            self.follower.version,
            self.directory.newest,
            self.leaving,
            asks,
            self.backlogs(),
            self.readers.reading,
            self.is_fed(),
            bool(self.contacts.other_places()),
            tuple(sorted(self.reach.silent)),
            self.directory.drains.told(),
        )

    def tell_soon(self) -> None:
        """Tell peers of what is new, once for all that becomes known in a moment."""
        if not self.telling:
            self.telling = True
            self.clock.call_later(TELL_MS, self.tell_news)

    def tell_news(self) -> None:
        """Tell peers which versions this instance has.

        Where a peer follows the store for those near, they learn from it what is new.
        """
        self.telling = False
        here = self.membership.me.datacentre
        led = not self.readers.reading and self.readers.has_fed_peer()
        for link in list(self.links.values()):
            if not led or link.peer.datacentre != here:
                self.send_later(link, self.beacon(asks=False))

    def pulse(self) -> None:
        """Tell those near that this instance follows the store, and whether that answers."""
        for link in self.near_links():
            self.send_later(link, self.beacon(asks=False))

    def serve(self, link: Link) -> None:
        """Serve a link that a peer opened, until it breaks."""
        try:
            super().serve(link)
        finally:
            for listener in self.peer_gone:
                listener(link)

    def greeting(self) -> Beacon:
        """Return which versions a peer that has just connected can get here."""
        return self.beacon(asks=False)

    def tell_members(self, instances: Sequence[Instance], links: Sequence[Link]) -> None:
        """Tell peers of instances."""
        for part in parts_of(instances):
            for link in links:
                self.send_later(link, MemberList(part))

    def near_links(self) -> list[Link]:
        """Return the links to those that leave the store to one of them with this instance."""
        near = {one.peer for one in self.ranking.near()}
        return [link for address, link in self.links.items() if address in near]

    @singledispatchmethod
    def handle(self, message: object, link: Link) -> None:
        """Take in a message, or hand it to who has subscribed to its kind."""
        self.hand_over(message, link)

    @handle.register
    def _(self, message: Beacon, link: Link) -> None:
        source = f"peer {link.peer.name}"
        self.membership.hear(link.peer, message.leaving)
        self.readers.hear(link.peer, message)
        self.directory.drains.apply(message.drains, source)
        self.eras.observe(message.directory.era, source)
        if message.reads and message.fed and message.catalogue <= self.follower.version:
            self.follower.confirm(self.clock.now())
        if message.judges and link.peer.datacentre == self.membership.me.datacentre:
            self.reach.believe(link.peer.name, message.cut)
            self.follow_reach()
        for backlog in message.backlogs:
            self.on_backlog(backlog, link.peer.datacentre)
        if message.asks:
            self.send(link, self.beacon(asks=False))
        newer = message.catalogue > self.follower.version
        if newer or message.directory > self.directory.newest:
            wait_ms = STORE_FIRST_MS if self.readers.reading else 0.0
            self.clock.call_later(wait_ms, lambda: self.ask(message, link))

    def ask(self, told: Beacon, link: Link) -> None:
        """Ask a peer for what it has and the store did not bring meanwhile."""
        lacks = told.catalogue > self.follower.version and not self.transfer.is_coming()
        catalogue = self.follower.version if lacks else -1
        directory = self.directory.newest if told.directory > self.directory.newest else None
        if catalogue >= 0 or directory is not None:
            self.send_later(link, Want(catalogue, directory))

    @handle.register
    def _(self, message: Want, link: Link) -> None:
        if 0 <= message.catalogue < self.follower.version:
            self.transfer.begin(link)
        if message.directory is not None and message.directory < self.directory.newest:
            self.send_directory(link, message.directory)
        if message.members:
            self.tell_members(self.membership.addressed(), [link])

    def send_directory(self, link: Link, since: Position) -> None:
        """Send the entries of the list of servers that changed after a position."""
        for copy in directory_copies(self.directory, since):
            self.send(link, copy)

    @handle.register
    def _(self, message: DirectoryCopy, link: Link) -> None:
        source = f"peer {link.peer.name}"
        self.directory.apply(message.records, message.position, source, message.lapse_ms)
