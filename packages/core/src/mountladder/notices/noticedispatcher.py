# noticedispatcher.py -- Dispatches the notices in answers of backend servers
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Dispatches the notices in answers of backend servers."""

from __future__ import annotations

from collections.abc import Sequence
from functools import singledispatch

from eliot import log_message

from mountladder.clocks.clock import Clock
from mountladder.configuration.backendserver import BackendServer
from mountladder.forwarding.directory import Directory
from mountladder.membership.linkmanager import LinkManager
from mountladder.metrics.metrics import Metrics
from mountladder.notices.backoff import BackOff
from mountladder.notices.currentspeed import CurrentSpeed
from mountladder.notices.leaving import Leaving
from mountladder.notices.notice import Notice
from mountladder.notices.noticeexchange import NoticeExchange
from mountladder.notices.noticeregistry import NoticeRegistry
from mountladder.notices.ratelimit import RateLimit
from mountladder.notices.rejectionlimit import RejectionLimit
from mountladder.routing.router import Router


class NoticeDispatcher:
    """Passes each notice in an answer to the component that acts on it.

    Args:
        link_manager: Maintains the links to the other instances.
        directory: Lists the backend servers and which of them are in use.
        router: Backs off from servers that ask this instance to.
        clock: The clock.
        metrics: Reports the numbers of limited and leaving servers.

    Attributes:
        registry: The shared notices in force.
    """

    def __init__(
        self,
        link_manager: LinkManager,
        directory: Directory,
        router: Router,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.router = router
        self.registry = NoticeRegistry(clock, metrics)
        self.registry.listed = directory.names
        self.registry.on_leaving = directory.rebuild
        directory.leaving_since = self.registry.leaving_since
        self.exchange = NoticeExchange(link_manager, self.registry, clock)

    def dispatch(self, server: BackendServer, notices: Sequence[Notice], sent_at: float) -> None:
        """Process the notices in an answer.

        Args:
            server: The server that answered.
            notices: The notices in its answer.
            sent_at: When the answered request was sent, in the clock's milliseconds.
        """
        for notice in notices:
            handle(notice, self, server, sent_at)


# A function: a singledispatchmethod would build a new function for each answer of a server.
@singledispatch
def handle(
    notice: object, dispatcher: NoticeDispatcher, server: BackendServer, sent_at: float
) -> None:
    """Process one notice.

    Raises:
        TypeError: It is not a notice.
    """
    raise TypeError(f"not a notice: {notice!r}")


@handle.register(RateLimit)
@handle.register(RejectionLimit)
@handle.register(Leaving)
def _(
    notice: RateLimit | RejectionLimit | Leaving,
    dispatcher: NoticeDispatcher,
    server: BackendServer,
    sent_at: float,
) -> None:
    dispatcher.registry.record(server, notice, sent_at)


@handle.register(BackOff)
def _(notice: BackOff, dispatcher: NoticeDispatcher, server: BackendServer, sent_at: float) -> None:
    dispatcher.router.back_off(server, notice.for_ms)
    log_message("server-backoff", server=server.name, for_ms=round(notice.for_ms))


@handle.register(CurrentSpeed)
def _(
    notice: CurrentSpeed, dispatcher: NoticeDispatcher, server: BackendServer, sent_at: float
) -> None:
    if dispatcher.router.speeds is not None:
        dispatcher.router.speeds.record_report(server, notice.factor)
