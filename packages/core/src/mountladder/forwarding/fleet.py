# fleet.py -- What instances that forward requests tell each other
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""What instances that forward requests tell each other."""

from __future__ import annotations

from collections.abc import Callable
from functools import singledispatchmethod

from eliot import log_message

from mountladder.clocks.clock import Clock
from mountladder.errors import PeerError
from mountladder.forwarding.backlog import Backlog
from mountladder.forwarding.beacon import Beacon
from mountladder.forwarding.catalogue import Catalogue
from mountladder.forwarding.cataloguefollower import CatalogueFollower
from mountladder.forwarding.catalogueslice import CatalogueSlice
from mountladder.forwarding.cataloguetransfer import CatalogueTransfer
from mountladder.forwarding.directory import Directory
from mountladder.forwarding.directorycopy import DirectoryCopy
from mountladder.forwarding.division import Division
from mountladder.forwarding.memberlist import MemberList
from mountladder.forwarding.messageparts import directory_copies, parts_of
from mountladder.forwarding.placementnote import PlacementNote
from mountladder.forwarding.placementorder import PlacementOrder
from mountladder.forwarding.placementreply import PlacementReply
from mountladder.forwarding.ranking import SMALL_FLEET, Ranking, prompts_topic
from mountladder.forwarding.reach import Reach
from mountladder.forwarding.readers import Readers
from mountladder.forwarding.stagenotice import StageNotice
from mountladder.forwarding.stageorder import StageOrder
from mountladder.forwarding.stageoutcome import StageOutcome
from mountladder.forwarding.stagerelease import StageRelease
from mountladder.forwarding.stagewithdrawal import StageWithdrawal
from mountladder.forwarding.want import Want
from mountladder.membership.instance import Instance
from mountladder.membership.link import Link
from mountladder.membership.linkkeeper import LinkKeeper
from mountladder.membership.membership import MISSED_HEARTBEATS, Membership
from mountladder.membership.network import Network
from mountladder.metrics.metrics import Metrics

# In a larger fleet (SMALL_FLEET) so many of the first by hash are kept in touch with for each
# service with pieces.
HOMES_KEPT = 2
# In a larger fleet heartbeats to the first of these come at this interval, so that a silent one is
# missed after three of them; to others the interval grows with their number.
HOME_HEARTBEAT_MS = 500.0
# The second is only to be known to be there when the first falls silent.
SECOND_HEARTBEAT_MS = 1_500.0
# Places of several data centres lend each other work by how long pieces wait there; in a burst that
# changes by about a call within this time.
PLACE_HEARTBEAT_MS = 250.0
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
        services: The topics whose work meets in one place, or in one of each data centre.
        division: Tells which services each data centre works on by itself.
        on_order: Takes a stage that a peer leaves to this instance.
        on_outcome: Takes the results of a stage that was left to a peer.
        on_withdrawal: Takes back a stage that a peer left to this instance.
        on_placement_order: Takes a prompt that a peer asks a server for.
        on_placement_reply: Takes where a prompt is to go.
        on_placement_note: Takes what became of a peer's prompt.
        peer_gone: Called with the link that a peer had opened when it is lost.
        backlogs: Returns how long pieces wait that meet on this instance.
        on_backlog: Takes how long pieces wait that meet on a peer, and its data centre.
        on_notice: Takes notice of pieces that a peer's request will send.
        on_release: Takes results that a peer does not need any more.
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
        self.transfer = CatalogueTransfer(follower, clock, self.send)
        self.services: set[str] = set()
        self.ranking = Ranking(membership)
        self.division = Division(directory, membership.me.datacentre)
        self.datacentres: tuple[int, frozenset[str]] = (-1, frozenset())
        self.contacts: tuple[object, dict[str, float]] = (None, {})
        self.reach = Reach(membership)
        self.readers = Readers(self.ranking.near, membership.me, clock)
        self.is_fed: Callable[[], bool] = lambda: False
        self.telling = False
        self.on_order: Callable[[StageOrder, Link], None] = lambda order, link: None
        self.on_outcome: Callable[[StageOutcome, Link], None] = lambda outcome, link: None
        self.on_withdrawal: Callable[[StageWithdrawal, Link], None] = lambda one, link: None
        self.backlogs: Callable[[], tuple[Backlog, ...]] = tuple
        self.on_backlog: Callable[[Backlog, str], None] = lambda backlog, datacentre: None
        self.on_notice: Callable[[StageNotice, Link], None] = lambda notice, link: None
        self.on_release: Callable[[StageRelease, Link], None] = lambda release, link: None
        self.on_placement_order: Callable[[PlacementOrder, Link], None] = lambda order, link: None
        self.on_placement_reply: Callable[[PlacementReply, Link], None] = lambda reply, link: None
        self.on_placement_note: Callable[[PlacementNote, Link], None] = lambda note, link: None
        self.peer_gone: list[Callable[[Link], None]] = []
        follower.listeners.append(self.learn_topics)
        follower.listeners.append(lambda catalogue: self.tell_soon())
        directory.listeners.append(self.tell_soon)

    def learn_topics(self, catalogue: Catalogue) -> None:
        """Get in touch with those where work meets before the first request needs them.

        An instance without a link to them works alone, and its calls crowd those of all others.
        """
        for service in catalogue.services.values():
            if service.batch is not None:
                self.services.add(service.name)
            if service.slots:
                self.services.add(prompts_topic(service.name))
        self.retarget.set()

    def ranked(self, topic: str) -> list[Instance]:
        """Return the instances in the order in which they take this one's work of a topic."""
        here = self.membership.me.datacentre if self.division.is_divided(topic) else ""
        return self.ranking.ranked(topic, here)

    def other_datacentres(self) -> frozenset[str]:
        """Return the other data centres that have instances."""
        stamp, names = self.datacentres
        if stamp != self.membership.changes:
            known = {one.datacentre for one in self.membership.known.values() if one.peer}
            names = frozenset(known - {self.membership.me.datacentre})
            self.datacentres = (self.membership.changes, names)
        return names

    def place_instances(self) -> list[Instance]:
        """Return where other data centres' work meets, of services that meet here as well."""
        found = []
        for topic in self.services:
            if self.division.is_divided(topic) and self.ranked(topic)[:1] == [self.membership.me]:
                for datacentre in self.other_datacentres():
                    found += self.ranking.ranked(topic, datacentre)[:HOMES_KEPT]
        return found

    def places(self, service: str) -> dict[str, Link]:
        """Return links to where a divided service's pieces meet in the other data centres."""
        found = {}
        for datacentre in self.other_datacentres():
            for one in self.ranking.ranked(service, datacentre)[:HOMES_KEPT]:
                link = self.links.get(one.peer)
                if link is not None and self.is_usable(link):
                    found[datacentre] = link
                    break
        return found

    def watch_datacentres(self) -> None:
        """Judge which data centres are cut off, where this instance is in touch with them."""
        if self.reach.judge({one.datacentre for one in self.place_instances()}):
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
        known = [one for one in self.membership.known.values() if one.peer]
        if len(known) <= SMALL_FLEET:
            return known
        chosen = {one.name: one for one in super().targets()}
        for service in self.services:
            for one in self.ranked(service)[:HOMES_KEPT]:
                if one is not self.membership.me:
                    chosen[one.name] = one
        chosen |= {one.name: one for one in self.place_instances()}
        return list(chosen.values())

    def contact_intervals(self) -> dict[str, float]:
        """Return the time between heartbeats to those where work meets, by their addresses."""
        divided = frozenset(self.division.divided)
        stamp = (self.membership.changes, self.leaving, divided, len(self.services))
        if self.contacts[0] != stamp:
            ranked = [self.ranked(topic)[:HOMES_KEPT] for topic in self.services]
            intervals = {one.peer: SECOND_HEARTBEAT_MS for homes in ranked for one in homes}
            intervals |= {one.peer: HOME_HEARTBEAT_MS for homes in ranked for one in homes[:1]}
            intervals |= {one.peer: PLACE_HEARTBEAT_MS for one in self.place_instances()}
            self.contacts = (stamp, intervals)
        return self.contacts[1]

    def interval_ms(self, address: str) -> float:
        """Return the time between heartbeats to a peer, in milliseconds."""
        usual_ms = super().interval_ms(address)
        return min(usual_ms, self.contact_intervals().get(address, usual_ms))

    def is_alive(self, peer: Instance) -> bool:
        """Tell whether a peer was heard of within its last heartbeats."""
        limit_ms = MISSED_HEARTBEATS * self.interval_ms(peer.peer)
        return self.membership.silence_ms(peer) <= limit_ms

    def home(self, service: str) -> Link | None:
        """Return the link to the instance where a service's pieces meet; None for this one."""
        self.services.add(service)
        for one in self.ranked(service):
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
            bool(self.place_instances()),
            tuple(sorted(self.reach.silent)),
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
        near = {one.peer for one in self.ranking.near()}
        for address, link in list(self.links.items()):
            if address in near:
                self.send_later(link, self.beacon(asks=False))

    def serve(self, link: Link) -> None:
        """Serve a link that a peer opened, until it breaks."""
        try:
            super().serve(link)
        finally:
            for listener in self.peer_gone:
                listener(link)

    def greet(self, link: Link) -> None:
        """Tell a peer that has just connected what it needs to start."""
        known = [one for one in self.membership.known.values() if one.peer]
        for part in parts_of(known):
            self.send(link, MemberList(part))
        self.send(link, self.beacon(asks=False))

    @singledispatchmethod
    def handle(self, message: object, link: Link) -> None:
        """Take in a message."""
        raise PeerError(f"no message is handled like {message!r}")

    @handle.register
    def _(self, message: Beacon, link: Link) -> None:
        self.membership.hear(link.peer, message.leaving)
        self.readers.hear(link.peer, message)
        if message.reads and message.fed and message.catalogue <= self.follower.version:
            self.follower.confirm(self.clock.now())
        if message.judges and link.peer.datacentre == self.membership.me.datacentre:
            self.reach.believe(message.cut)
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
        directory = self.directory.newest if told.directory > self.directory.newest else -1
        if catalogue >= 0 or directory >= 0:
            self.send_later(link, Want(catalogue, directory))

    @handle.register
    def _(self, message: Want, link: Link) -> None:
        if 0 <= message.catalogue < self.follower.version:
            self.transfer.begin(link)
        if 0 <= message.directory < self.directory.newest:
            self.send_directory(link, message.directory)

    def send_directory(self, link: Link, since: int) -> None:
        """Send the entries of the list of servers that changed after a version."""
        for copy in directory_copies(self.directory, since):
            self.send(link, copy)

    @handle.register
    def _(self, message: CatalogueSlice, link: Link) -> None:
        self.transfer.take(message, link)

    @handle.register
    def _(self, message: DirectoryCopy, link: Link) -> None:
        source = f"peer {link.peer.name}"
        self.directory.apply(message.records, message.version, source, message.lapse_ms)

    @handle.register
    def _(self, message: MemberList, link: Link) -> None:
        for instance in message.instances:
            self.membership.mention(instance)
        self.retarget.set()

    @handle.register
    def _(self, message: StageOrder, link: Link) -> None:
        self.on_order(message, link)

    @handle.register
    def _(self, message: StageOutcome, link: Link) -> None:
        self.on_outcome(message, link)

    @handle.register
    def _(self, message: StageWithdrawal, link: Link) -> None:
        self.on_withdrawal(message, link)

    @handle.register
    def _(self, message: PlacementOrder, link: Link) -> None:
        self.on_placement_order(message, link)

    @handle.register
    def _(self, message: PlacementReply, link: Link) -> None:
        self.on_placement_reply(message, link)

    @handle.register
    def _(self, message: PlacementNote, link: Link) -> None:
        self.on_placement_note(message, link)

    @handle.register
    def _(self, message: StageNotice, link: Link) -> None:
        self.on_notice(message, link)

    @handle.register
    def _(self, message: StageRelease, link: Link) -> None:
        self.on_release(message, link)
