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
SILENT_MS = 750.0


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
        self.serving: WeakSet[Link] = WeakSet()
        self.heard_at = float("-inf")

    def is_coming(self) -> bool:
        """Return whether a catalogue is being received."""
        return self.clock.now() - self.heard_at < SILENT_MS

    def begin(self, link: Link) -> None:
        """Start a greenlet that sends the catalogue in force, unless one runs for this link."""
        if link not in self.serving:
            self.serving.add(link)
            gevent.spawn(self.serve, link)

    def serve(self, link: Link) -> None:
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
            self.serving.discard(link)

    def take(self, part: CatalogueSlice, link: Link) -> None:
        """Handle a part from a peer; put the catalogue in force once it is complete."""
        self.heard_at = self.clock.now()
        source = f"peer {link.peer.name}"
        try:
            encoded = self.assemblies.setdefault(link, CatalogueAssembly()).add(part)
        except PeerError as error:
            code = error.code.number
            log_message("catalogue-receive-failed", source=source, code=code, reason=error.detail)
            return
        if encoded is not None:
            self.heard_at = float("-inf")
            self.follower.adopt(encoded, source)
