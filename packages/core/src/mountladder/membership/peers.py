# peers.py -- Exchanges configuration, writes and heartbeats with the other instances
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Exchanges configuration, writes and heartbeats with the other instances."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from functools import singledispatchmethod

import gevent
from eliot import log_message

from mountladder.clocks.clock import Clock
from mountladder.configuration.change import Change
from mountladder.configuration.configuration import Configuration
from mountladder.configuration.follower import Follower
from mountladder.errors import BadRowError, PeerError
from mountladder.membership.changes import Changes
from mountladder.membership.changesrequest import ChangesRequest
from mountladder.membership.heartbeat import Heartbeat
from mountladder.membership.hello import Hello
from mountladder.membership.instance import Instance
from mountladder.membership.link import Link
from mountladder.membership.linkmanager import LinkManager
from mountladder.membership.membership import Membership
from mountladder.membership.network import Network
from mountladder.membership.snapshot import Snapshot
from mountladder.membership.submit import Submit
from mountladder.membership.submitted import Submitted
from mountladder.membership.wire import Message
from mountladder.metrics.metrics import Metrics

LEAVING_REPORT_MS = 10_000.0


class Peers(LinkManager):
    """Exchanges configuration changes, delegated writes and heartbeats with the other instances.

    Args:
        membership: The known instances.
        follower: The configuration in force.
        network: Opens links.
        clock: The clock.
        metrics: Where bytes and errors are counted.
        seeds: Addresses of instances to connect to while no other is known.

    Attributes:
        on_submit: Commits a write for a peer and returns the reply.
        on_submitted: Called with a peer's reply to a write that it was asked to commit.
        on_leaving_server: Called with the name of a backend server that a peer reports as leaving.
    """

    def __init__(
        self,
        membership: Membership,
        follower: Follower,
        network: Network,
        clock: Clock,
        metrics: Metrics,
        seeds: Sequence[str] = (),
    ) -> None:
        super().__init__(membership, network, clock, metrics, seeds)
        self.follower = follower
        self.source: Instance | None = None
        self.leaving_servers: dict[str, float] = {}
        self.on_submit: Callable[[Submit], Submitted] | None = None
        self.on_submitted: Callable[[Submitted], None] = lambda submitted: None
        self.on_leaving_server: Callable[[str], None] = lambda name: None
        follower.listeners.append(self.forward)

    def heartbeat(self) -> Heartbeat:
        """Return a heartbeat with this instance's revision and its age."""
        now = self.clock.now()
        reported = [
            name for name, at in self.leaving_servers.items() if now - at < LEAVING_REPORT_MS
        ]
        age = self.follower.age_ms()
        age_ms = int(age) if age != float("inf") else 2**32 - 1
        revision = self.follower.configuration.revision
        return Heartbeat(revision, age_ms, self.leaving, tuple(reported))

    def forward(self, changes: Sequence[Change]) -> None:
        """Forward new changes to the peers that do not get them from their source.

        Changes from a peer of this data centre go to other data centres only, since that peer has
        sent them to its neighbours itself.
        """
        message = Changes(tuple(change.encode() for change in changes))
        here = self.membership.me.datacentre
        sent_locally = self.source is not None and self.source.datacentre == here
        for link in list(self.links.values()):
            if sent_locally and link.peer.datacentre == here:
                continue
            gevent.spawn(self.try_send, link, message)

    def report_leaving_server(self, name: str) -> None:
        """Report a backend server that announced that it is leaving to every peer."""
        fresh = name not in self.leaving_servers
        self.leaving_servers[name] = self.clock.now()
        if fresh:
            self.send_heartbeats()

    @singledispatchmethod
    def handle(self, message: Message, link: Link) -> None:
        """Handle a message; types not handled here go to their subscribers."""
        self.dispatch(message, link)

    @handle.register
    def _(self, message: Hello, link: Link) -> None:
        raise PeerError("a hello message after the handshake")

    @handle.register
    def _(self, message: Heartbeat, link: Link) -> None:
        self.membership.mark_alive(link.peer, message.leaving)
        for name in message.leaving_servers:
            self.on_leaving_server(name)
        own = self.follower.configuration.revision
        if message.revision > own:
            self.send(link, ChangesRequest(own))
        elif message.revision == own and message.age_ms < 2**32 - 1:
            self.follower.confirm(self.clock.now() - message.age_ms)

    @handle.register
    def _(self, message: ChangesRequest, link: Link) -> None:
        changes = self.follower.since(message.revision)
        if changes is None:
            self.send(link, Snapshot(self.follower.configuration.encode()))
        elif changes:
            self.send(link, Changes(tuple(change.encode() for change in changes)))

    @handle.register
    def _(self, message: Changes, link: Link) -> None:
        changes = [Change.decode(value) for value in message.values]
        self.source = link.peer
        try:
            self.follower.adopt(changes)
        finally:
            self.source = None
        if changes and changes[-1].revision > self.follower.configuration.revision:
            self.send(link, ChangesRequest(self.follower.configuration.revision))

    @handle.register
    def _(self, message: Snapshot, link: Link) -> None:
        try:
            self.follower.replace(Configuration.decode(message.value))
        except BadRowError as error:
            log_message("snapshot-refused", peer=link.peer.name, reason=str(error))

    @handle.register
    def _(self, message: Submit, link: Link) -> None:
        if self.on_submit is not None:
            gevent.spawn(lambda: self.try_send(link, self.on_submit(message)))

    @handle.register
    def _(self, message: Submitted, link: Link) -> None:
        self.on_submitted(message)
