# reachchecks.py -- Checks whether servers that could not be reached accept connections again
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Checks whether servers that could not be reached accept connections again."""

from __future__ import annotations

import random
from collections.abc import Callable

import gevent
from eliot import log_message

from mountladder.clocks.clock import Clock
from mountladder.configuration.backendserver import BackendServer
from mountladder.forwarding.directory import Directory
from mountladder.forwarding.serverrecord import ID_LABEL
from mountladder.isolation.reachcheck import ReachCheck
from mountladder.routing.serverstate import ServerState

# A sound server may accept no connections for a second or so. A check is a connection, which costs
# the server a place for a moment, so that one that stays away is checked less and less often.
MIN_INTERVAL_MS = 250.0
MAX_INTERVAL_MS = 16_000.0
# How many servers an instance checks at once: after a partition it may know of hundreds.
MAX_RUNNING = 4


class ReachChecks:
    """Checks whether servers that could not be reached accept connections again.

    A connection that fails opens the breaker of its server for a second or more. Meanwhile,
    requests for the server's service have it checked, so that it is in use again soon after it
    accepts connections. A single call is sent to it then, and others once that one is answered,
    since it may have crashed and not be ready for all its work.

    Args:
        directory: The list of backend servers.
        reaches: Returns whether a connection to a server can be opened.
        clock: The clock.
        rng: The source of jitter, which keeps instances from checking at the same moment.

    Attributes:
        checks: The servers that could not be reached and have answered nothing since, by name.
        running: The number of checks in progress.
    """

    def __init__(
        self,
        directory: Directory,
        reaches: Callable[[BackendServer], bool],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.directory = directory
        self.reaches = reaches
        self.clock = clock
        self.rng = rng
        self.checks: dict[str, ReachCheck] = {}
        self.running = 0
        directory.listeners.append(self.forget_unlisted)

    def record_unreachable(self, state: ServerState) -> None:
        """Check a server later, since a connection of this instance to it has failed."""
        check = self.find(state)
        if check is None:
            return
        check.failed_elsewhere = False
        if check.reached or not check.interval_ms:
            check.reached = False
            self.schedule(check)

    def verify(self, state: ServerState) -> None:
        """Check a server at once, since another instance could not connect to it.

        One that is known to be unreachable from here as well is checked when that is due.
        """
        check = self.find(state)
        if check is None or (check.interval_ms and not check.reached):
            return
        check.failed_elsewhere = True
        check.reached = False
        check.due_at = self.clock.now()
        self.begin_if_due(check)

    def find(self, state: ServerState) -> ReachCheck | None:
        """Return what is known of a server that cannot be reached, None if it is not listed."""
        server = state.server
        check = self.checks.get(server.name)
        if check is not None and check.state is state:
            return check
        record = self.directory.records.get(server.labels[ID_LABEL])
        if record is None or record.server is None:
            return None
        check = ReachCheck(state, record.service, self.clock.now())
        self.checks[server.name] = check
        return check

    def check_for(self, service: str) -> None:
        """Check the servers of a service that are due, since there is a request for it."""
        if self.checks:
            for check in [one for one in self.checks.values() if one.service == service]:
                self.begin_if_due(check)

    def begin_if_due(self, check: ReachCheck) -> None:
        """Begin to check a server if that is due and the server may be used otherwise."""
        state, now = check.state, self.clock.now()
        if check.running:
            return
        if not state.breaker.is_open:
            self.forget(check)
            return
        if check.reached or now < check.due_at or self.running >= MAX_RUNNING:
            return
        if now < max(state.backoff_until, state.leaving_until):
            return
        if not any(one.name == state.server.name for one in self.available(check)):
            self.forget(check)
            return
        check.running = True
        self.running += 1
        gevent.spawn(self.run, check)

    def available(self, check: ReachCheck) -> tuple[BackendServer, ...]:
        """Return the servers of a server's service that new work may be sent to."""
        return self.directory.available(check.service)

    def run(self, check: ReachCheck) -> None:
        """Check a server, and let calls be sent to it again if it is reached."""
        try:
            reached = self.reaches(check.state.server)
        finally:
            check.running = False
            self.running -= 1
        check.checks += 1
        if not reached:
            check.failed_elsewhere = False
            self.schedule(check)
        elif check.state.breaker.is_open:
            self.record_reached(check)

    def record_reached(self, check: ReachCheck) -> None:
        """Let calls be sent again to a server that was reached."""
        breaker, now = check.state.breaker, self.clock.now()
        check.reached = True
        if check.failed_elsewhere:
            breaker.succeed()
            self.forget(check)
        else:
            breaker.allow_probe(now)
        log_message(
            "server-reached",
            server=check.state.server.name,
            checks=check.checks,
            failed_ms_ago=round(now - check.failed_at),
            failed_here=not check.failed_elsewhere,
        )

    def schedule(self, check: ReachCheck) -> None:
        """Set when a server is checked next."""
        check.interval_ms = min(MAX_INTERVAL_MS, max(MIN_INTERVAL_MS, 2.0 * check.interval_ms))
        check.due_at = self.clock.now() + check.interval_ms * self.rng.uniform(0.8, 1.2)

    def forget(self, check: ReachCheck) -> None:
        """Drop what is known of a server, which is in use again or is not to be used."""
        if self.checks.get(check.state.server.name) is check:
            del self.checks[check.state.server.name]

    def forget_unlisted(self) -> None:
        """Drop what is known of servers without an entry."""
        if self.checks:
            kept = self.directory.kept_names()
            self.checks = {name: one for name, one in self.checks.items() if name in kept}
