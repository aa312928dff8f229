# stageservers.py -- The servers of a stage service and the calls to them
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The servers of a stage service and the calls to them."""

from __future__ import annotations

from collections.abc import Sequence

from mountladder.forwarding.batchlimits import BatchLimits
from mountladder.forwarding.directory import Directory
from mountladder.forwarding.stagecallstate import StageCallState
from mountladder.routing.router import Router
from mountladder.routing.serverstate import ServerState

# A server this much slower than usual is left alone while another is soon free.
MUCH_SLOWER = 1.8


class StageServers:
    """The servers of a stage service, and the calls that one instance has running there.

    Args:
        service: The name of the service.
        directory: Which servers there are.
        router: What is known of each server.
    """

    def __init__(self, service: str, directory: Directory, router: Router) -> None:
        self.service = service
        self.directory = directory
        self.router = router
        self.calls: dict[str, list[StageCallState]] = {}
        self.paused: dict[str, float] = {}

    def begin(self, state: ServerState, call: StageCallState) -> None:
        """Record that a call is sent."""
        self.calls.setdefault(state.server.name, []).append(call)
        state.begin(call.started)

    def end(self, state: ServerState, call: StageCallState, now: float) -> None:
        """Record that a call has ended."""
        self.calls[state.server.name].remove(call)
        state.end(now)

    def pause(self, state: ServerState, until: float) -> None:
        """Send a server nothing up to a time."""
        self.paused[state.server.name] = until

    def usable(self, now: float) -> list[ServerState]:
        """Return the servers that may be sent a call now, or once they are free."""
        states = (self.router.state(one) for one in self.directory.available(self.service))
        return [one for one in states if one.usable(now)]

    def free(self, limits: BatchLimits, now: float) -> list[ServerState]:
        """Return the servers that can take a call at once, the fastest first."""
        usable = self.usable(now)
        free = [one for one in usable if self.is_free(one, limits, now)]
        return sorted(free, key=lambda one: one.slowness_at(now))

    def left(self, state: ServerState, now: float) -> float:
        """Return how long the calls at a server are expected to take yet."""
        return max((call.left(now) for call in self.calls.get(state.server.name, ())), default=0.0)

    def is_better_to_wait(
        self,
        slow: ServerState,
        usable: Sequence[ServerState],
        waiting: int,
        limits: BatchLimits,
        now: float,
    ) -> bool:
        """Tell whether servers that are busy would have done the waiting pieces sooner."""
        if slow.slowness_at(now) <= MUCH_SLOWER:
            return False
        pieces = min(waiting, limits.pieces)
        alone_ms = limits.expected_ms(pieces) * slow.slowness_at(now)
        room = 0
        for state in usable:
            if state is slow or state.slowness_at(now) > MUCH_SLOWER:
                continue
            left = self.left(state, now)
            if left + limits.expected_ms(pieces) * state.slowness_at(now) < alone_ms:
                room += limits.pieces
        return waiting <= room

    def is_free(self, state: ServerState, limits: BatchLimits, now: float) -> bool:
        """Tell whether a server may be sent a call now."""
        paused = self.paused.get(state.server.name, 0.0) > now
        return not paused and self.running(state) < limits.calls

    def running(self, state: ServerState) -> int:
        """Return how many calls this instance has running at a server."""
        return len(self.calls.get(state.server.name, ()))
