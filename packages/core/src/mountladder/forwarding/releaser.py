# releaser.py -- Giving up results of stages
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Giving up results of stages."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import gevent

from mountladder.clocks.clock import Clock
from mountladder.forwarding.directory import Directory
from mountladder.forwarding.upstream import Upstream
from mountladder.notices.notice import Heard

# Results are given up in batches: soon enough that a server's room for results does not fill.
RELEASE_MS = 25.0


class Releaser:
    """Tells servers which results of stages are no longer needed, many in one call.

    Args:
        upstream: Calls the servers.
        directory: Knows which servers are to get nothing; what they keep is left to lapse there.
        clock: The clock.
        heard: Told what answers say of their servers; see ForwardCall.
        freed: Called with the handles once the servers have dropped the results.
        spared: Returns the addresses of servers that limit what they take, or want rest.
        is_kept: Tells whether a result still takes up room.

    Attributes:
        held: Handles of results at those, by address: giving them up takes one of the few requests
            that such a server gets, or breaks its rest, so that they wait until there is need, or
            lapse.
    """

    def __init__(
        self,
        upstream: Upstream,
        directory: Directory,
        clock: Clock,
        freed: Callable[[Sequence[str]], None],
        heard: Heard,
        spared: Callable[[], frozenset[str]],
        is_kept: Callable[[str], bool],
    ) -> None:
        self.upstream = upstream
        self.directory = directory
        self.clock = clock
        self.freed = freed
        self.heard = heard
        self.spared = spared
        self.is_kept = is_kept
        self.held: dict[str, list[str]] = {}
        self.handles: list[str] = []
        self.cancel: Callable[[], None] | None = None

    def release(self, handles: Sequence[str]) -> None:
        """Give up results soon."""
        self.handles += [handle for handle in handles if handle]
        if self.handles and self.cancel is None:
            self.cancel = self.clock.call_later(RELEASE_MS, self.flush)

    def flush(self) -> None:
        """Give up what has been gathered."""
        self.cancel = None
        handles, self.handles = self.handles, []
        if handles:
            gevent.spawn(self.free, handles)

    def free(self, handles: Sequence[str]) -> None:
        """Give up results, and tell when that is done."""
        closed, spared = self.directory.closed, self.spared()
        given_up = self.take_back(spared)
        for handle in handles:
            address = handle.partition("/")[0]
            if address in spared:
                self.held.setdefault(address, []).append(handle)
            elif address not in closed:
                given_up.append(handle)
        self.free_now(given_up)

    def take_back(self, spared: frozenset[str]) -> list[str]:
        """Return what was held back at servers not spared now, and forget what has lapsed."""
        given_up: list[str] = []
        for address, handles in list(self.held.items()):
            left = [one for one in handles if self.is_kept(one)]
            if left and address in spared:
                self.held[address] = left
            else:
                del self.held[address]
                given_up += left
        return given_up

    def free_held(self, address: str) -> None:
        """Give up what was held back at a server, where it is still there; in one call."""
        handles = [one for one in self.held.pop(address, ()) if self.is_kept(one)]
        if handles:
            gevent.spawn(self.free_now, handles)

    def free_now(self, handles: Sequence[str]) -> None:
        """Give up results whatever their servers take, and tell when that is done."""
        by_address: dict[str, list[str]] = {}
        for handle in handles:
            by_address.setdefault(handle.partition("/")[0], []).append(handle)
        for address, freed in by_address.items():
            # Results do not outlive a server that is not listed any more.
            server = self.directory.by_address.get(address)
            if server is not None:
                self.upstream.free(server, freed, self.heard)
        self.freed(handles)
