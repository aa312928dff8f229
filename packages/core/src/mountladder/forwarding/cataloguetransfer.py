# cataloguetransfer.py -- Sends the catalogue to peers in parts and receives it from them
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Sends the catalogue to peers in parts and receives it from them."""

from __future__ import annotations

from collections.abc import Callable
from weakref import WeakKeyDictionary, WeakSet

import gevent
from eliot import log_message

from mountladder.clocks.clock import Clock
from mountladder.errors import PeerError
from mountladder.forwarding.catalogueassembly import CatalogueAssembly, slices
from mountladder.forwarding.cataloguefollower import CatalogueFollower
from mountladder.forwarding.catalogueslice import CatalogueSlice
from mountladder.membership.link import Link

# If no part arrives for this long, a transfer counts as failed and the catalogue is requested
# again, within three heartbeats.
TRANSFER_TIMEOUT_MS = 750.0


class CatalogueTransfer:
    """Sends the catalogue to peers in parts, and reassembles the parts that peers send.

    Args:
        follower: The catalogue in force.
        clock: The clock.
        send: Sends a part over a link; raises PeerError if the link is broken.
    """

    def __init__(
        self,
        follower: CatalogueFollower,
        clock: Clock,
        send: Callable[[Link, CatalogueSlice], None],
    ) -> None:
        self.follower = follower
        self.clock = clock
        self.send = send
        self.assemblies: WeakKeyDictionary[Link, CatalogueAssembly] = WeakKeyDictionary()
        self.sending: WeakSet[Link] = WeakSet()
        self.received_at = float("-inf")

    def is_receiving(self) -> bool:
        """Return whether a catalogue is being received."""
        return self.clock.now() - self.received_at < TRANSFER_TIMEOUT_MS

    def start_sending(self, link: Link) -> None:
        """Start a greenlet that sends the catalogue in force, unless one runs for this link."""
        if link not in self.sending:
            self.sending.add(link)
            gevent.spawn(self.send_catalogue, link)

    def send_catalogue(self, link: Link) -> None:
        """Send the catalogue in force part by part; stop if a newer one replaces it meanwhile."""
        version = self.follower.version
        try:
            for part in slices(version, self.follower.encoded):
                if self.follower.version != version:
                    break
                self.send(link, part)
        except PeerError as error:
            log_message("catalogue-send-failed", version=version, reason=error.detail)
        finally:
            self.sending.discard(link)

    def receive(self, part: CatalogueSlice, link: Link) -> None:
        """Handle a part from a peer; put the catalogue in force once it is complete."""
        self.received_at = self.clock.now()
        source = f"peer {link.peer.name}"
        try:
            encoded = self.assemblies.setdefault(link, CatalogueAssembly()).add(part)
        except PeerError as error:
            code = error.code.number
            log_message("catalogue-receive-failed", source=source, code=code, reason=error.detail)
            return
        if encoded is not None:
            self.received_at = float("-inf")
            self.follower.adopt(encoded, source)
