# releaser.py -- Releases stage results at their servers in batches
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Releases stage results at their servers in batches."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import gevent

from mountladder.clocks.clock import Clock
from mountladder.forwarding.directory import Directory
from mountladder.forwarding.upstream import Upstream
from mountladder.notices.notice import NoticeHandler
from mountladder.results.releasedhandles import ReleasedHandles

# Releases are batched over this time, short enough that a server's result memory does not fill up.
RELEASE_MS = 25.0


class Releaser:
    """Releases stage results at their servers, many in one call.

    Args:
        upstream: Calls the servers.
        directory: Lists the servers, and those that get no calls; results there are left to expire.
        clock: The clock.
        on_notices: Receives the notices that answers carry about their servers; see ForwardCall.
        on_released: Called with the handles once the servers have dropped the results.
        restricted: Returns the addresses of servers that limit their rate or asked for back-off.
        is_stored: Returns whether a result still takes up memory.

    Attributes:
        held: Handles of results at those servers, by address. Releasing them would use up one of
            the few requests that such a server accepts, or violate its back-off, so they are held
            back until memory runs short or they expire.
        released: The results that were released last; releasing them again does nothing.
    """

    def __init__(
        self,
        upstream: Upstream,
        directory: Directory,
        clock: Clock,
        on_released: Callable[[Sequence[str]], None],
        on_notices: NoticeHandler,
        restricted: Callable[[], frozenset[str]],
        is_stored: Callable[[str], bool],
    ) -> None:
        self.upstream = upstream
        self.directory = directory
        self.clock = clock
        self.on_released = on_released
        self.on_notices = on_notices
        self.restricted = restricted
        self.is_stored = is_stored
        self.held: dict[str, list[str]] = {}
        self.released = ReleasedHandles()
        self.handles: list[str] = []
        self.cancel: Callable[[], None] | None = None

    def release(self, handles: Sequence[str]) -> None:
        """Release results with the next batch."""
        self.handles += [handle for handle in handles if handle and self.released.add(handle)]
        if self.handles and self.cancel is None:
            self.cancel = self.clock.call_later(RELEASE_MS, self.flush)

    def flush(self) -> None:
        """Start the release of the current batch."""
        self.cancel = None
        handles, self.handles = self.handles, []
        if handles:
            gevent.spawn(self.free, handles)

    def free(self, handles: Sequence[str]) -> None:
        """Release results, except at restricted servers; call on_released afterwards."""
        closed, restricted = self.directory.closed, self.restricted()
        releasable = self.pop_releasable(restricted)
        for handle in handles:
            address = handle.partition("/")[0]
            if address in restricted:
                self.held.setdefault(address, []).append(handle)
            elif address not in closed:
                releasable.append(handle)
        self.release_now(releasable)

    def pop_releasable(self, restricted: frozenset[str]) -> list[str]:
        """Remove and return the results to release of those held back; drop expired ones."""
        releasable: list[str] = []
        for address, handles in list(self.held.items()):
            left = [one for one in handles if self.is_stored(one)]
            if left and address in restricted:
                self.held[address] = left
            else:
                del self.held[address]
                releasable += left
        return releasable

    def release_held(self, address: str) -> None:
        """Release the unexpired results held back at a server, in one call."""
        handles = [one for one in self.held.pop(address, ()) if self.is_stored(one)]
        if handles:
            gevent.spawn(self.release_now, handles)

    def release_now(self, handles: Sequence[str]) -> None:
        """Release results regardless of limits and back-off; call on_released afterwards."""
        by_address: dict[str, list[str]] = {}
        for handle in handles:
            by_address.setdefault(handle.partition("/")[0], []).append(handle)
        for address, grouped in by_address.items():
            # A server that is no longer listed is gone, and its results with it.
            server = self.directory.by_address.get(address)
            if server is not None:
                self.upstream.free(server, grouped, self.on_notices)
        self.on_released(handles)
