# linkmanager.py -- Keeps links to the other instances open and dispatches their messages
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Keeps links to the other instances open and dispatches their messages."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence
from typing import Any, TypeVar

import gevent
from eliot import log_message
from gevent.event import Event

from mountladder.clocks.clock import Clock
from mountladder.errors import MountladderError, PeerError
from mountladder.membership.instance import Instance
from mountladder.membership.link import Link
from mountladder.membership.membership import MISSED_HEARTBEATS, Membership
from mountladder.membership.network import Network
from mountladder.membership.wire import Message
from mountladder.metrics.metric import Metric
from mountladder.metrics.metrics import Metrics

MIN_REDIAL_MS = 250.0
MAX_REDIAL_MS = 2_000.0
TARGETS_POLL_MS = 500.0
Kind = TypeVar("Kind")


class LinkManager(ABC):
    """Keeps a link to each target instance open, serves links from peers, dispatches messages.

    Heartbeats are sent over the links that this instance has opened; peers reply on the same link.

    Args:
        membership: The known instances.
        network: Opens links.
        clock: The clock.
        metrics: Where bytes and errors are counted.
        seeds: Addresses of instances to connect to while no other is known.

    Attributes:
        links: The links that this instance has opened, by the peer's address.
        leaving: Whether this instance is shutting down.
        expects_replies: Whether peers reply to heartbeats on the same link, so that a silent link
            is broken.
        on_link_opened: Called with each link that this instance has opened.
        on_link_lost: Called with the address of a peer whose link broke or fell silent.
        subscribers: The handlers of message types that `handle` does not handle itself.
        accept_listeners: Called with each link that a peer has opened, to send it the current
            state.
    """

    expects_replies = False

    def __init__(
        self,
        membership: Membership,
        network: Network,
        clock: Clock,
        metrics: Metrics,
        seeds: Sequence[str] = (),
    ) -> None:
        self.membership = membership
        self.network = network
        self.clock = clock
        self.metrics = metrics
        self.seeds = tuple(seed for seed in seeds if seed != membership.me.peer)
        self.links: dict[str, Link] = {}
        self.dialers: dict[str, gevent.Greenlet] = {}
        self.redial_events: dict[str, Event] = {}
        self.retarget = Event()
        self.leaving = False
        self.on_link_opened: Callable[[Link], None] = lambda link: None
        self.on_link_lost: Callable[[str], None] = lambda address: None
        self.subscribers: dict[type, Callable[[Any, Link], None]] = {}
        self.accept_listeners: list[Callable[[Link], None]] = []
        self.bytes = 0
        self.messages = 0

    def run(self) -> None:
        """Keep one dialling greenlet for each target, forever."""
        while True:
            self.update_dialers()
            self.metrics.gauge(Metric.PEERS, len(self.membership.live()) - 1)
            self.clock.wait(self.retarget, TARGETS_POLL_MS)
            self.retarget.clear()

    def redial_now(self, address: str) -> None:
        """Dial a peer at once that has just connected to this instance."""
        waiting = self.redial_events.get(address)
        if waiting is not None:
            waiting.set()
        else:
            self.retarget.set()

    def update_dialers(self) -> None:
        """Start and stop dialling greenlets as the targets change."""
        targets = [one.peer for one in self.targets() if one.peer]
        wanted = set(targets) | (set() if targets else set(self.seeds))
        for address in wanted - set(self.dialers):
            self.dialers[address] = gevent.spawn(self.dial, address)
        for address in set(self.dialers) - wanted - set(self.seeds):
            self.dialers.pop(address).kill(block=False)

    def targets(self) -> list[Instance]:
        """Return the instances to keep links to."""
        return self.membership.targets()

    def interval_ms(self, address: str) -> float:
        """Return the time between heartbeats to a peer, in milliseconds."""
        return self.membership.interval_ms

    def dial(self, address: str) -> None:
        """Keep a link to an address open, forever; back off while it cannot be reached."""
        pause_ms = MIN_REDIAL_MS
        while True:
            opened = self.clock.now()
            try:
                self.run_link(address)
            except PeerError as error:
                self.metrics.count(Metric.PEER_ERRORS, error.code.name.lower())
            if self.clock.now() - opened > MAX_REDIAL_MS:
                pause_ms = MIN_REDIAL_MS
            redial = self.redial_events[address] = Event()
            if self.clock.wait(redial, pause_ms):
                pause_ms = MIN_REDIAL_MS
            pause_ms = min(MAX_REDIAL_MS, 2 * pause_ms)

    def run_link(self, address: str) -> None:
        """Open a link, and send heartbeats over it until it breaks.

        Raises:
            PeerError: The link could not be opened, broke or fell silent.
        """
        link = self.network.connect(address, self.membership.me)
        reader = None
        broken = Event()
        try:
            peer = link.handshake()
            self.membership.mark_alive(peer)
            link.received_at = self.clock.now()
            self.links[address] = link
            log_message("peer-reached", peer=peer.name, address=address)
            self.on_link_opened(link)
            reader = gevent.spawn(self.read_all, link)
            reader.link(lambda _: broken.set())
            while not broken.is_set():
                self.send(link, self.heartbeat())
                self.clock.wait(broken, self.interval_ms(address))
                self.check_silence(link)
        finally:
            if self.links.pop(address, None) is not None:
                log_message("peer-lost", address=address)
                self.on_link_lost(address)
            link.close()
            if reader is not None:
                reader.kill()

    def is_answering(self, link: Link) -> bool:
        """Return whether anything arrived over a link within the last heartbeat intervals.

        A link may stay silent for good without a reset, even if its peer sends over other links.
        """
        limit_ms = MISSED_HEARTBEATS * self.interval_ms(link.peer.peer)
        return self.clock.now() - link.received_at <= limit_ms

    def check_silence(self, link: Link) -> None:
        """Fail if a link has been silent for too long.

        Raises:
            PeerError: Nothing arrived over it within the last heartbeat intervals.
        """
        if self.expects_replies and not self.is_answering(link):
            raise PeerError(f"the link to {link.peer.name} is silent")

    def serve(self, link: Link) -> None:
        """Serve a link that a peer opened, until it breaks."""
        try:
            peer = link.handshake()
            self.membership.mark_alive(peer)
            self.redial_now(peer.peer)
            self.send_first_messages(link)
            self.read_all(link)
        except PeerError as error:
            self.metrics.count(Metric.PEER_ERRORS, error.code.name.lower())
        finally:
            link.close()

    def read_all(self, link: Link) -> None:
        """Handle messages until the link breaks."""
        try:
            while True:
                message = link.receive()
                link.received_at = self.clock.now()
                self.handle(message, link)
        except MountladderError as error:
            self.metrics.count(Metric.PEER_ERRORS, error.code.name.lower())

    def send(self, link: Link, message: Message) -> None:
        """Send a message and count its bytes.

        Raises:
            PeerError: The link is broken.
        """
        size = link.send(message)
        self.bytes += size
        self.messages += 1
        self.metrics.count(Metric.PEER_BYTES, number=size)

    def subscribe(self, kind: type[Kind], take: Callable[[Kind, Link], None]) -> None:
        """Register the handler of a message type; it gets the message and its link."""
        self.subscribers[kind] = take

    def dispatch(self, message: Message, link: Link) -> None:
        """Pass a message to the subscriber of its type.

        Raises:
            PeerError: The type has no subscriber.
        """
        take = self.subscribers.get(type(message))
        if take is None:
            raise PeerError(f"messages like {message!r} have no handler")
        take(message, link)

    def send_first_messages(self, link: Link) -> None:
        """Send the first messages to a peer that has just connected."""
        self.send(link, self.first_message())
        for listener in self.accept_listeners:
            listener(link)

    def first_message(self) -> Message:
        """Return the first message to a peer that has just connected."""
        return self.heartbeat()

    @abstractmethod
    def heartbeat(self) -> Message:
        """Return this instance's heartbeat."""

    @abstractmethod
    def handle(self, message: Message, link: Link) -> None:
        """Handle a message from a link."""

    def send_later(self, link: Link, message: Message) -> None:
        """Send a message from a new greenlet, so that the caller does not block."""
        gevent.spawn(self.try_send, link, message)

    def broadcast_links(self, source: str) -> list[Link]:
        """Return the links to broadcast or forward new entries over.

        Args:
            source: The name of the peer that sent them, or an empty string for those of this
                instance.
        """
        sender = self.membership.known.get(source)
        here = self.membership.me.datacentre
        # A peer of this data centre has sent them to all others of it itself.
        sent_locally = sender is not None and sender.datacentre == here
        return [
            link
            for link in self.links.values()
            if link.peer.name != source and not (sent_locally and link.peer.datacentre == here)
        ]

    def try_send(self, link: Link, message: Message) -> None:
        """Send a message; a broken link is only counted, since its own greenlets handle it."""
        try:
            self.send(link, message)
        except PeerError as error:
            self.metrics.count(Metric.PEER_ERRORS, error.code.name.lower())

    def send_heartbeats(self) -> None:
        """Send a heartbeat to every peer at once."""
        for link in list(self.links.values()):
            gevent.spawn(self.try_send, link, self.heartbeat())

    def close(self) -> None:
        """Stop all dialling greenlets."""
        for dialer in self.dialers.values():
            dialer.kill()
