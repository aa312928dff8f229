# gossip.py -- Replicates a set of entries to all instances by gossip
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Replicates a set of entries to all instances by gossip."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Iterable, Sequence
from typing import Any, Generic, TypeVar

from mountladder.clocks.clock import Clock
from mountladder.forwarding.messageparts import chunked
from mountladder.membership.link import Link
from mountladder.membership.linkmanager import LinkManager

Entry = TypeVar("Entry")


class Gossip(ABC, Generic[Entry]):
    """Replicates a set of entries to all instances, over the existing links.

    Entries that are new to an instance are forwarded at once, so that they also reach instances
    without a link to the one they come from. A peer that connects is sent all entries.

    Args:
        link_manager: Keeps the links to the other instances.
        clock: The clock.
        message: The type of the messages, made from a tuple of entries.
    """

    def __init__(self, link_manager: LinkManager, clock: Clock, message: type[Any]) -> None:
        self.link_manager = link_manager
        self.clock = clock
        self.message = message
        link_manager.subscribe(message, self.receive)
        link_manager.accept_listeners.append(self.send_all)

    @abstractmethod
    def known(self) -> Iterable[Entry]:
        """Return all entries that this instance has."""

    @abstractmethod
    def as_ages(self, entry: Entry, now: float) -> Entry:
        """Return an entry for sending, with its times as ages before now."""

    @abstractmethod
    def merge(self, entries: Sequence[Entry], now: float, source: str) -> None:
        """Merge entries from a peer, whose times are ages before now."""

    def broadcast(self, entries: Sequence[Entry], source: str) -> None:
        """Broadcast new entries, or forward those of a peer.

        Args:
            entries: The entries.
            source: The name of the peer that sent them, or an empty string for those of this
                instance.
        """
        for link in self.link_manager.broadcast_links(source):
            self.send(link, entries)

    def send_all(self, link: Link) -> None:
        """Send all entries to a peer that has just connected."""
        self.send(link, list(self.known()))

    def send(self, link: Link, entries: Sequence[Entry]) -> None:
        """Send entries, in messages of bounded size."""
        now = self.clock.now()
        for part in chunked([self.as_ages(one, now) for one in entries]):
            self.link_manager.send_later(link, self.message(part))

    def receive(self, message: Any, link: Link) -> None:
        """Handle a message with entries from a peer."""
        self.merge(message.entries, self.clock.now(), link.peer.name)
