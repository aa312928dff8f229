# stageservers.py -- The servers of a stage service and the calls to them
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The servers of a stage service and the calls to them."""

from __future__ import annotations

from collections.abc import Sequence

from mountladder.clocks.timer import MS_PER_SECOND
from mountladder.forwarding.batchlimits import BatchLimits
from mountladder.forwarding.coldservers import ColdServers
from mountladder.forwarding.division import Division
from mountladder.forwarding.stagecallstate import StageCallState
from mountladder.routing.router import Router
from mountladder.routing.serverstate import ServerState
from mountladder.serverlimits.serverlimits import ServerLimits

# A server this much slower than usual is left alone while another is soon free.
MUCH_SLOWER = 1.8
# A server whose call is overdue has lost its answer, is slow, or is gone. Meanwhile it is sent one
# more call, with this fraction of the pieces, which tells.
PROBE_PART = 4


class StageServers:
    """The servers of a stage service, and the calls that one instance has running there.

    Args:
        service: The name of the service.
        division: Which servers pieces that meet here are made at.
        router: What is known of each server.
        cold: Limits what servers get that have just started.
        named_limits: Keeps to what servers say that they take.
    """

    def __init__(
        self,
        service: str,
        division: Division,
        router: Router,
        cold: ColdServers,
        named_limits: ServerLimits,
    ) -> None:
        self.service = service
        self.division = division
        self.router = router
        self.cold = cold
        self.named_limits = named_limits
        self.calls: dict[str, list[StageCallState]] = {}
        self.paused: dict[str, float] = {}
        self.overdue: dict[str, list[StageCallState]] = {}
        self.answered_at: dict[str, float] = {}
        self.limited_call_at = float("-inf")

    def begin(self, state: ServerState, call: StageCallState) -> None:
        """Record that a call is sent."""
        self.cold.sent(state.server, call.pieces)
        if self.named_limits.limited((state.server,)):
            self.limited_call_at = call.started
        # A call is one request, however many pieces it holds.
        self.named_limits.record_sent(state.server, self.service)
        self.calls.setdefault(state.server.name, []).append(call)
        state.begin(call.started)

    def end(self, state: ServerState, call: StageCallState, now: float) -> None:
        """Record that a call has ended."""
        name = state.server.name
        self.calls[name].remove(call)
        if call in self.overdue.get(name, ()):
            self.overdue[name].remove(call)
        state.end(now)

    def mark_overdue(self, state: ServerState, call: StageCallState) -> None:
        """Record that a call takes so long that its answer may be lost."""
        self.overdue.setdefault(state.server.name, []).append(call)

    def answered(self, state: ServerState, now: float) -> None:
        """Record that a server has answered a call."""
        self.answered_at[state.server.name] = now

    def has_answered_since(self, state: ServerState, call: StageCallState) -> bool:
        """Tell whether a server has answered another call since one was sent."""
        return self.answered_at.get(state.server.name, float("-inf")) > call.started

    def doubtful(self, state: ServerState) -> list[StageCallState]:
        """Return the overdue calls of a server that has not answered since they were sent."""
        overdue = self.overdue.get(state.server.name, ())
        return [call for call in overdue if not self.has_answered_since(state, call)]

    def most_pieces(self, state: ServerState, limits: BatchLimits) -> int:
        """Return how many pieces a server is sent at most; few while cold, or maybe not working."""
        most = max(1, limits.pieces // PROBE_PART) if self.doubtful(state) else limits.pieces
        return min(most, self.cold.allowance(state.server, self.service))

    def spared_addresses(self) -> frozenset[str]:
        """Return the addresses of the servers that limit what they take, or want rest."""
        servers = self.division.directory.available(self.service)
        limited = self.named_limits.limited(servers)
        spared = [one for one in servers if one.name in limited] if limited else []
        return frozenset(one.address for one in (*spared, *self.router.backing_off(servers)))

    def rest_ms(self) -> float:
        """Return for how much longer all servers want no calls from here, or 0."""
        return self.router.backoff_ms(self.division.servers(self.service))

    def take_request(self, state: ServerState) -> bool:
        """Take one of the requests that a server can be sent now; tell whether there was one."""
        if self.named_limits.wait_ms(state.server, self.service) > 0:
            return False
        self.named_limits.record_sent(state.server, self.service)
        return True

    def pause(self, state: ServerState, until: float) -> None:
        """Send a server nothing up to a time."""
        self.paused[state.server.name] = until

    def usable(self, now: float) -> list[ServerState]:
        """Return the servers that may be sent a call now, or once they are free."""
        states = (self.router.state(one) for one in self.division.servers(self.service))
        return [one for one in states if one.usable(now)]

    def free(self, limits: BatchLimits, now: float) -> list[ServerState]:
        """Return the servers that can take a call at once, the fastest first.

        Those that limit what they take come behind the others, so that their calls hold what is
        left then, and cold ones last.
        """
        usable = self.usable(now)
        free = [one for one in usable if self.is_free(one, limits, now)]
        servers = [one.server for one in free]
        cold, limited = self.cold.cold(servers), self.named_limits.limited(servers)
        return sorted(
            free,
            key=lambda one: (
                one.server.name in cold,
                one.server.name in limited,
                one.slowness_at(now),
            ),
        )

    def left(self, state: ServerState, now: float) -> float:
        """Return how long the calls at a server are expected to take yet."""
        return max((call.left(now) for call in self.calls.get(state.server.name, ())), default=0.0)

    def waits_for_more(
        self, usable: Sequence[ServerState], pieces: int, limits: BatchLimits, now: float
    ) -> bool:
        """Tell whether a call waits for more pieces, where all servers limit what they take.

        Calls are as far apart as the servers together take them: so no more of them are made, and
        each holds what has come since the last one. While most servers have a turn left, as after a
        calm time, none waits.

        Args:
            usable: The servers that may be sent calls.
            pieces: How many pieces the call would hold now.
            limits: What a server takes at once.
            now: The clock's time.
        """
        if pieces >= limits.pieces or not self.named_limits.limited(one.server for one in usable):
            return False
        turns = sum(self.named_limits.wait_ms(one.server, self.service) <= 0 for one in usable)
        if 2 * turns > len(usable):
            return False
        per_s = sum(self.named_limits.per_s(one.server, self.service) for one in usable)
        return now - self.limited_call_at < MS_PER_SECOND / per_s

    def pieces_per_ms(self, state: ServerState, limits: BatchLimits, now: float) -> float:
        """Return how many pieces a server makes in full calls, in a millisecond."""
        per_ms = 1.0 / (limits.expected_ms(limits.pieces) * state.slowness_at(now))
        named = self.named_limits.per_s(state.server, self.service) / MS_PER_SECOND
        return limits.pieces * min(per_ms, named)

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
        if self.named_limits.wait_ms(state.server, self.service) > 0:
            return False
        return not paused and self.running(state) + len(self.doubtful(state)) // 2 < limits.calls

    def running(self, state: ServerState) -> int:
        """Return how many calls a server is taken to be working on; not the overdue ones."""
        name = state.server.name
        return len(self.calls.get(name, ())) - len(self.overdue.get(name, ()))
