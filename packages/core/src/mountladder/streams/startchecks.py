# startchecks.py -- Checks whether servers have started again while the list of servers is old
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Checks whether servers have started again while the list of servers is old."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable

import gevent
from eliot import log_message

from mountladder.clocks.clock import Clock
from mountladder.configuration.backendserver import BackendServer
from mountladder.forwarding.directory import Directory
from mountladder.forwarding.listage import ListAge
from mountladder.forwarding.serverrecord import ID_LABEL, start_of
from mountladder.forwarding.upstream import Upstream
from mountladder.streams.startcheck import StartCheck
from mountladder.streams.streambeginning import StreamBeginning

# From this age on, the list of servers may be old. The store answers an instance that polls it
# every 500 ms, and 320 ms later while it is slow; that instance announces it every 300 ms. Another
# one takes over 0.9 s after the last announcement, and needs a call for its own first one.
MAX_LIST_AGE_MS = 1_500.0
# An answer holds for this long: a server that crashes takes seconds to start again.
CHECK_VALID_MS = 1_000.0
# A report needs no slot and no work. A server that takes longer counts as one that does not answer.
CHECK_TIMEOUT_MS = 300.0
# A stream continues by a list that was current this long ago: entries take some 20 ms to arrive.
CURRENT_MS = 50.0
# Timeout for a read of the list, which takes 4 ms, before servers are asked instead.
READ_TIMEOUT_MS = 100.0


class StartChecks:
    """Checks whether servers run since the start that their entries name.

    A server that crashes may start again at its address at another software version. An instance
    that reaches neither the store nor a peer that does keeps the entry of before, and takes the
    server for the version of before. So while the list may be old, a server is asked when it
    started: at most once a second, for all requests together. While the list is current, nothing is
    asked.

    Before a stream continues, the list has to be current at that moment, which a read of the store
    shows; without an answer from the store the servers are asked.

    A removed entry tells nothing: the server may have started again and left since the entry that
    is known, and the list shows the last change only. Such a server is asked as well.

    A server without a start in its entry cannot be checked, and counts as one that has not started
    again.

    Args:
        directory: The list of backend servers.
        age: How old it may be.
        upstream: Calls the servers.
        clock: The clock.

    Attributes:
        checks: The last check of each server, by its id.
        read_list: Reads the list from the store; see StoreRead.refresh.
    """

    def __init__(
        self, directory: Directory, age: ListAge, upstream: Upstream, clock: Clock
    ) -> None:
        self.directory = directory
        self.age = age
        self.upstream = upstream
        self.clock = clock
        self.checks: dict[str, StartCheck] = {}
        self.read_list: Callable[[float, float | None], bool] = lambda since, wait_ms: False
        directory.listeners.append(self.forget_unlisted)

    def is_needed(self) -> bool:
        """Return whether the list of servers may be old."""
        return self.age.ms() > MAX_LIST_AGE_MS

    def is_current(self, since: float, wait_ms: float | None = READ_TIMEOUT_MS) -> bool:
        """Return whether the list of servers is known to have been current at a time or later.

        Args:
            since: The time, in the clock's milliseconds.
            wait_ms: For how long to wait for the store; see StoreRead.refresh.
        """
        if self.is_confirmed(since):
            return True
        return not self.is_needed() and self.read_list(since, wait_ms)

    def is_confirmed(self, since: float) -> bool:
        """Return whether the list has been confirmed as of a time or later."""
        return self.age.current_at() >= since

    def beginning(self, stream: bytes, server: BackendServer) -> StreamBeginning:
        """Return that a server begins a stream now."""
        return StreamBeginning(stream, server, self.assumed_start(server), self.clock.now())

    def began_as_listed(self, beginning: StreamBeginning) -> bool:
        """Return whether a server had not started again when it began a stream.

        Where neither the store nor the server answers this is not known, and counts as no.
        """
        server, at = beginning.server, beginning.at
        if self.is_current(at) and self.shows_start(beginning):
            return self.is_listed_as(beginning)
        born = self.reported_start(server)
        if born is None and self.is_current(at, None) and self.shows_start(beginning):
            return self.is_listed_as(beginning)
        is_same = born == beginning.listed_start
        self.log(server, born, "began as listed" if is_same else "not known which began")
        return is_same

    def shows_start(self, beginning: StreamBeginning) -> bool:
        """Return whether the list shows if the server that began a stream has started again."""
        return self.is_listed(beginning.server) or not beginning.listed_start

    def is_listed_as(self, beginning: StreamBeginning) -> bool:
        """Return whether no other start of the server that began a stream is listed by now."""
        return self.assumed_start(beginning.server) == beginning.listed_start

    def may_continue_at(self, server: BackendServer) -> bool:
        """Return whether a server is known to run the version that its newest entry names.

        Events of a stream that another server began are passed on only if it is.
        """
        since = self.clock.now() - CURRENT_MS
        if not self.is_listed(server):
            return self.is_start_listed(server)
        if self.is_confirmed(since):
            return True
        has_answered = self.has_answered(server.labels[ID_LABEL])
        return not has_answered and self.is_current(since) or self.is_start_listed(server)

    def may_try(self, server: BackendServer) -> bool:
        """Return whether a stream that another server began may be sent to a server.

        A silent one may be tried while the list is not old: it is asked again before its events are
        passed on, once it speaks.
        """
        if self.may_continue_at(server):
            return True
        return not (self.is_needed() or self.has_restarted(server.labels[ID_LABEL]))

    def is_as_listed(self, server: BackendServer) -> bool:
        """Return whether a server runs the software version that its newest entry names.

        Without an answer from the server this is not known, and counts as no. A list that may not
        be old, and holds the server, is not checked.
        """
        return not self.must_ask(server) or self.is_start_listed(server)

    def must_ask(self, server: BackendServer) -> bool:
        """Return whether the list does not tell when a server started: it may be old or lack it."""
        return self.is_needed() or not self.is_listed(server)

    def is_start_listed(self, server: BackendServer) -> bool:
        """Return whether a server answers that it has run since the start that its entry names."""
        start = self.assumed_start(server)
        if not start:
            self.log(server, None, "no start in its entry")
            return True
        born = self.reported_start(server)
        is_same = born == start
        other = "not known" if born is None else "another start"
        self.log(server, born, "as listed" if is_same else other)
        return is_same

    def reported_start(self, server: BackendServer) -> int | None:
        """Return the start that a server names when it is asked, or None without an answer."""
        check = self.check(server)
        if not check.ended.is_set():
            self.clock.wait(check.ended, CHECK_TIMEOUT_MS)
        return check.born

    def has_answered(self, id_: str) -> bool:
        """Return whether a server has named its start, in an answer that holds now."""
        check = self.checks.get(id_)
        is_recent = check is not None and self.clock.now() - check.asked_at < CHECK_VALID_MS
        return is_recent and check.born is not None

    def restarted(self, servers: Iterable[BackendServer]) -> frozenset[str]:
        """Return the names of the servers that are known to have started again."""
        if not self.checks:
            return frozenset()
        return frozenset(one.name for one in servers if self.has_restarted(one.labels[ID_LABEL]))

    def has_restarted(self, id_: str) -> bool:
        """Return whether a server has named a later start than its entry does."""
        check = self.checks.get(id_)
        return (
            check is not None and check.born is not None and check.born > self.listed_start(id_) > 0
        )

    def is_listed(self, server: BackendServer) -> bool:
        """Return whether the list has an entry of a server, of this start or a later one."""
        record = self.directory.records.get(server.labels[ID_LABEL])
        return record is not None and record.server is not None

    def assumed_start(self, server: BackendServer) -> int:
        """Return the start of a server that its newest entry names, or the last one that did."""
        return self.listed_start(server.labels[ID_LABEL]) or start_of(server)

    def listed_start(self, id_: str) -> int:
        """Return the start that a server's newest entry names, in ms since 1970, or 0."""
        record = self.directory.records.get(id_)
        return record.born if record is not None else 0

    def check(self, server: BackendServer) -> StartCheck:
        """Return the check of a server that holds now, which is begun if there is none.

        One without an answer does not hold: the server may have been silent for a moment.
        """
        id_, now = server.labels[ID_LABEL], self.clock.now()
        known = self.checks.get(id_)
        holds = known is not None and not known.has_failed()
        if holds and (now - known.asked_at < CHECK_VALID_MS or self.has_restarted(id_)):
            return known
        check = self.checks[id_] = StartCheck(now)
        gevent.spawn(self.ask, server, check)
        return check

    def ask(self, server: BackendServer, check: StartCheck) -> None:
        """Ask a server when it started."""
        try:
            check.born = self.upstream.started_at(server, CHECK_TIMEOUT_MS)
        finally:
            check.ended.set()

    def forget_unlisted(self) -> None:
        """Drop the checks of servers without an entry."""
        if self.checks:
            listed = self.directory.records.keys()
            self.checks = {id_: one for id_, one in self.checks.items() if id_ in listed}

    def log(self, server: BackendServer, born: int | None, outcome: str) -> None:
        """Log whether a server has started again, as far as that is known."""
        age_ms = self.age.ms()
        log_message(
            "server-start-checked",
            server=server.name,
            listed_born=self.listed_start(server.labels[ID_LABEL]),
            reported_born=born,
            list_age_ms=round(age_ms) if age_ms < math.inf else None,
            outcome=outcome,
        )
