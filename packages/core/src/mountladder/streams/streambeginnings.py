# streambeginnings.py -- Checks later which version the servers ran that began streams
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Checks later which version the servers ran that began streams."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable

import gevent
from eliot import log_message

from mountladder.clocks.clock import Clock
from mountladder.configuration.backendserver import BackendServer
from mountladder.streams.startchecks import StartChecks
from mountladder.streams.streambeginning import StreamBeginning

# The list of servers is confirmed about as often as this.
SWEEP_MS = 500.0


class StreamBeginnings:
    """Keeps which server began each stream until the list of servers is known to be newer.

    A server may have started again at another version shortly before this instance was cut off. Its
    entry names the version of before then, which nobody notices until the list counts as old. So a
    stream that began since the list was last known to be current is checked before it continues,
    and all of them are once the list counts as old.

    Args:
        starts: Checks whether servers have started again.
        clock: The clock.

    Attributes:
        pending: The beginnings that are not checked yet, by stream.
        is_sweep_due: Whether they are checked after a while.
        on_unverified: Called with a stream whose server may have run another version.
    """

    def __init__(self, starts: StartChecks, clock: Clock) -> None:
        self.starts = starts
        self.clock = clock
        self.pending: dict[bytes, StreamBeginning] = {}
        self.is_sweep_due = False
        self.on_unverified: Callable[[bytes], None] = lambda stream: None

    def add(self, stream: bytes, server: BackendServer) -> StreamBeginning:
        """Return that a server begins a stream now, which is checked later."""
        beginning = self.starts.beginning(stream, server)
        if beginning.is_as_listed is None:
            self.pending[stream] = beginning
            self.sweep_later()
        return beginning

    def check_stream(self, stream: bytes) -> None:
        """Check the server that began a stream, unless that is done or it is not known here."""
        beginning = self.pending.get(stream)
        if beginning is not None:
            self.check(beginning)

    def check(self, beginning: StreamBeginning) -> bool:
        """Return whether the server that began a stream had not started again by then."""
        if beginning.is_as_listed is None:
            self.settle(beginning, self.starts.began_as_listed(beginning))
        return beginning.is_as_listed

    def settle(self, beginning: StreamBeginning, is_as_listed: bool) -> None:
        """Record whether the server that began a stream had not started again by then."""
        self.pending.pop(beginning.stream, None)
        beginning.is_as_listed = is_as_listed
        if not is_as_listed:
            log_message(
                "stream-beginning-unverified",
                stream=beginning.stream.hex(),
                server=beginning.server.name,
                listed_born=beginning.listed_start,
                begun_ms_ago=round(self.clock.now() - beginning.at),
            )
            self.on_unverified(beginning.stream)

    def sweep_later(self) -> None:
        """Check the beginnings after a while."""
        if not self.is_sweep_due:
            self.is_sweep_due = True
            self.clock.call_later(SWEEP_MS, self.sweep)

    def sweep(self) -> None:
        """Settle the beginnings that a current list does; have the servers of others asked.

        These are all others once the list is old, and those whose servers it shows no more.
        """
        self.is_sweep_due = False
        is_needed = self.starts.is_needed()
        asked: dict[str, list[StreamBeginning]] = defaultdict(list)
        for beginning in list(self.pending.values()):
            is_confirmed = self.starts.is_confirmed(beginning.at)
            if is_confirmed and self.starts.shows_start(beginning):
                self.settle(beginning, self.starts.is_listed_as(beginning))
            elif is_needed or is_confirmed:
                asked[beginning.server.name].append(beginning)
        for beginnings in asked.values():
            gevent.spawn(self.check_all, beginnings)
        if self.pending:
            # Further streams may begin while a server is asked.
            self.sweep_later()

    def check_all(self, beginnings: Iterable[StreamBeginning]) -> None:
        """Check some beginnings."""
        for beginning in beginnings:
            self.check(beginning)
