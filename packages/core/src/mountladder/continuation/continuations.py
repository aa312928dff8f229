# continuations.py -- The streams of an instance that can continue from copies
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The streams of an instance that can continue from copies."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from typing import TYPE_CHECKING

import gevent

from mountladder.clocks.clock import Clock
from mountladder.configuration.backendserver import BackendServer
from mountladder.continuation.backupdecision import BackupDecision
from mountladder.continuation.backuppolicy import BackupPolicy
from mountladder.continuation.streampace import StreamPace
from mountladder.forwarding.cataloguefollower import CatalogueFollower
from mountladder.forwarding.directory import Directory
from mountladder.forwarding.forwardrequest import ForwardRequest
from mountladder.forwarding.route import Route
from mountladder.forwarding.serverrecord import SERVICE_LABEL
from mountladder.forwarding.upstream import Upstream
from mountladder.notices.notice import NoticeHandler
from mountladder.routing.router import Router

if TYPE_CHECKING:
    from mountladder.continuation.serverwatch import ServerWatch


class Continuations:
    """Decides which streams of an instance get copies, and tells them when their server is lost.

    Args:
        enabled: Returns whether the settings allow copies.
        follower: Holds the catalogue in force.
        directory: The list of backend servers.
        router: Holds the state of each server.
        upstream: Sends calls to servers.
        on_notices: Applies the notices in answers of servers.
        clock: The clock.

    Attributes:
        policy: Decides which streams get a copy.
        paces: The observed pace of streams, by route.
        watched: The servers of streams with a copy that are being read.
    """

    def __init__(
        self,
        enabled: Callable[[], bool],
        follower: CatalogueFollower,
        directory: Directory,
        router: Router,
        upstream: Upstream,
        on_notices: NoticeHandler,
        clock: Clock,
    ) -> None:
        self.enabled = enabled
        self.follower = follower
        self.directory = directory
        self.router = router
        self.upstream = upstream
        self.on_notices = on_notices
        self.clock = clock
        self.policy = BackupPolicy()
        self.paces: defaultdict[str, StreamPace] = defaultdict(StreamPace)
        self.watched: set[ServerWatch] = set()
        directory.listeners.append(self.check_reachable)

    def decide(self, request: ForwardRequest, route: Route, service: str) -> BackupDecision | None:
        """Return whether a stream gets a copy, or None if no copy is possible or needed."""
        if route.repeatable or request.prompt is None or not self.enabled():
            return None
        known = self.follower.service(service)
        if known is None or known.backups is None:
            return None
        return self.policy.decide(request.prompt, known.backups, self.paces[route.name])

    def is_available(self, server: BackendServer) -> bool:
        """Return whether a stream may continue at a server."""
        listed = self.directory.available(server.labels[SERVICE_LABEL])
        usable = self.router.state(server).usable(self.clock.now())
        return usable and any(one.name == server.name for one in listed)

    def handle_crash(self, server: str) -> None:
        """Have the streams of a crashed server continue, whichever instance noticed the crash."""
        for watch in [one for one in self.watched if one.server.name == server]:
            watch.interrupt("the server has crashed")

    def check_reachable(self) -> None:
        """Have the streams of servers in unreachable data centres continue."""
        if not self.directory.avoided or not self.watched:
            return
        avoided = self.directory.avoided
        for watch in [one for one in self.watched if one.server.datacentre in avoided]:
            watch.interrupt("the data centre is unreachable")

    def free(self, server: BackendServer, request: str) -> None:
        """Free the copy of a request in the background, unless nothing may be sent to its server.

        Args:
            server: The server that has the copy.
            request: The id of the request.
        """
        if server.address not in self.directory.closed:
            gevent.spawn(self.upstream.free_copy, server, request, self.on_notices)
