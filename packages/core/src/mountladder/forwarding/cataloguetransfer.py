# cataloguetransfer.py -- Passing the catalogue on to peers
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Passing the catalogue on to peers."""

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

# A transfer whose next part has not come for this long is asked for anew, three heartbeats later
# at the latest.
SILENT_MS = 750.0


class CatalogueTransfer:
    """Sends the catalogue to peers in parts, and puts together what peers send.

    Args:
        follower: The catalogue in force.
        clock: The clock.
        send: Sends a message over a link.
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
        """Tell whether parts of a catalogue are coming in."""
        return self.clock.now() - self.heard_at < SILENT_MS

    def begin(self, link: Link) -> None:
        """Send the catalogue in force from a task of its own, unless that is under way."""
        if link not in self.serving:
            self.serving.add(link)
            gevent.spawn(self.serve, link)

    def serve(self, link: Link) -> None:
        """Send the catalogue in force part by part; a newer one ends that."""
        version = self.follower.version
        try:
            for part in slices(version, self.follower.encoded):
                if self.follower.version != version:
                    break
                self.send(link, part)
        except PeerError as error:
            log_message("catalogue-not-passed-on", version=version, reason=error.detail)
        finally:
            self.serving.discard(link)

    def take(self, part: CatalogueSlice, link: Link) -> None:
        """Take in a part of a catalogue, and adopt the catalogue with its last one."""
        self.heard_at = self.clock.now()
        source = f"peer {link.peer.name}"
        try:
            encoded = self.assemblies.setdefault(link, CatalogueAssembly()).add(part)
        except PeerError as error:
            code = error.code.number
            log_message("catalogue-unread", source=source, code=code, reason=error.detail)
            return
        if encoded is not None:
            self.heard_at = float("-inf")
            self.follower.adopt(encoded, source)
