# stageservers.py -- State of the servers of a stage service and of the calls to them
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""State of the servers of a stage service and of the calls to them."""

from __future__ import annotations

from collections.abc import Sequence

from mountladder.clocks.timer import MS_PER_SECOND
from mountladder.forwarding.batchlimits import BatchLimits
from mountladder.forwarding.coldservers import ColdServers
from mountladder.forwarding.division import Division
from mountladder.forwarding.stagecallstate import StageCallState
from mountladder.performance.decisions import call_pieces
from mountladder.routing.router import Router
from mountladder.routing.serverstate import ServerState
from mountladder.serverlimits.serverlimits import ServerLimits

# A server slower than usual by more than this factor is skipped if busy servers would be sooner.
SLOW_FACTOR = 1.8
# An overdue call means a lost answer, a slow server or a dead one. To find out which, the server is
# probed with one more call of the maximum number of pieces divided by this.
PROBE_DIVISOR = 4
# Calls to at least this many servers are overdue in a silence of all; a single one may be slow.
MIN_SILENT_SERVERS = 2


class StageServers:
    """The servers of a stage service, and the calls that this instance runs there.

    Args:
        service: The name of the service.
        division: Selects the servers that pieces coordinated here are sent to.
        router: Holds the state of each server.
        cold: Limits the pieces sent to servers that have just started.
        rate_limits: Enforces the rate limits that servers announce.

    Attributes:
        calls: The running calls, by the server's name.
        paused: Until when a server is sent no calls, by its name.
        overdue: Those of the running calls that are overdue, by the server's name.
        answered_at: When a server last answered a call, by its name.
        limited_call_at: When the last call to a rate-limited server was sent.
        silent_at: When all servers were last found to be silent; see find_silence.
    """

    def __init__(
        self,
        service: str,
        division: Division,
        router: Router,
        cold: ColdServers,
        rate_limits: ServerLimits,
    ) -> None:
        self.service = service
        self.division = division
        self.router = router
        self.cold = cold
        self.rate_limits = rate_limits
        self.calls: dict[str, list[StageCallState]] = {}
        self.paused: dict[str, float] = {}
        self.overdue: dict[str, list[StageCallState]] = {}
        self.answered_at: dict[str, float] = {}
        self.limited_call_at = self.silent_at = float("-inf")
        rate_limits.rooms.counts.append(self.count_calls)

    def count_calls(self, name: str) -> int:
        """Return the number of calls in progress at a server, overdue ones included."""
        return len(self.calls.get(name, ()))

    def begin(self, state: ServerState, call: StageCallState) -> None:
        """Record that a call was sent."""
        self.cold.record_sent(state.server, call.pieces)
        if self.rate_limits.limited((state.server,)):
            self.limited_call_at = call.started
        # Rate limits count a call as one request, whatever its number of pieces.
        self.rate_limits.record_sent(state.server, self.service)
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
        """Record that a call is overdue, so that its answer may be lost."""
        self.overdue.setdefault(state.server.name, []).append(call)

    def answered(self, state: ServerState, now: float) -> None:
        """Record that a server has answered a call."""
        self.answered_at[state.server.name] = now

    def has_answered_since(self, state: ServerState, call: StageCallState) -> bool:
        """Return whether a server has answered another call since this one was sent."""
        return self.answered_at.get(state.server.name, float("-inf")) > call.started

    def find_silence(self, state: ServerState, call: StageCallState, now: float) -> bool:
        """Return whether all servers are silent rather than one of them slow, and record it.

        That is so if calls to several servers are overdue, and none has answered since the newest
        of them was sent. How late it is says nothing about its server's speed then. A call that
        was sent after another late one does: a silence makes calls late once.

        Args:
            state: A server.
            call: The newest overdue call, which was sent there.
            now: The clock's time.
        """
        was_late = state.late_at is not None and call.started >= state.late_at
        has_answer = max(self.answered_at.values(), default=float("-inf")) > call.started
        overdue = sum(bool(calls) for calls in self.overdue.values())
        if was_late or has_answer or overdue < MIN_SILENT_SERVERS:
            return False
        self.silent_at = now
        return True

    def was_silenced(self, call: StageCallState) -> bool:
        """Return whether all servers were found to be silent since a call was sent."""
        return self.silent_at >= call.started

    def uncertain_calls(self, state: ServerState) -> list[StageCallState]:
        """Return the overdue calls of a server that has not answered since they were sent."""
        overdue = self.overdue.get(state.server.name, ())
        return [call for call in overdue if not self.has_answered_since(state, call)]

    def max_pieces(self, state: ServerState, limits: BatchLimits) -> int:
        """Return the maximum pieces in a call, fewer for cold servers and those being probed."""
        limit = (
            max(1, limits.pieces // PROBE_DIVISOR) if self.uncertain_calls(state) else limits.pieces
        )
        return min(limit, self.cold.allowance(state.server, self.service))

    def slow_pieces(
        self,
        state: ServerState,
        usable: Sequence[ServerState],
        waiting: int,
        limits: BatchLimits,
        now: float,
    ) -> int:
        """Return the maximum pieces in a call by the server's speed alone; see call_pieces."""
        factor = state.pace.expected_factor(now)
        if factor <= 1.0:
            return limits.pieces
        faster = sum(one.time_factor(now) < factor for one in usable)
        return call_pieces(limits.pieces, factor, waiting, faster * limits.pieces)

    def restricted_addresses(self) -> frozenset[str]:
        """Return the addresses of the servers that limit their rate or asked for back-off."""
        servers = self.division.directory.available(self.service)
        limited = self.rate_limits.limited(servers)
        restricted = [one for one in servers if one.name in limited] if limited else []
        return frozenset(one.address for one in (*restricted, *self.router.backing_off(servers)))

    def backoff_ms(self) -> float:
        """Return the remaining back-off of all servers in milliseconds, 0 if one has none."""
        return self.router.backoff_ms(self.division.servers(self.service))

    def try_acquire(self, state: ServerState) -> bool:
        """Use up one request of a server's rate limit; return False if none is available now."""
        if self.rate_limits.wait_ms(state.server, self.service) > 0:
            return False
        self.rate_limits.record_sent(state.server, self.service)
        return True

    def pause(self, state: ServerState, until: float) -> None:
        """Send a server no calls until a time."""
        self.paused[state.server.name] = until

    def usable(self, now: float) -> list[ServerState]:
        """Return the servers that may be sent calls, busy ones included."""
        states = [self.router.state(one) for one in self.division.servers(self.service)]
        usable = [one for one in states if one.usable(now)]
        return usable or [one for one in states if one.usable(now, suspects=True)]

    def free(self, limits: BatchLimits, now: float) -> list[ServerState]:
        """Return the servers that can take a call now, the fastest first.

        Rate-limited servers come behind the others and so get the remaining pieces, cold ones come
        behind these, and servers that are silent while a call is overdue come last.
        """
        usable = self.usable(now)
        free = [one for one in usable if self.is_free(one, limits, now)]
        servers = [one.server for one in free]
        cold, limited = self.cold.cold(servers), self.rate_limits.limited(servers)
        return sorted(
            free,
            key=lambda one: (
                bool(self.uncertain_calls(one)),
                one.server.name in cold,
                one.server.name in limited,
                one.time_factor(now),
            ),
        )

    def remaining_ms(self, state: ServerState, now: float) -> float:
        """Return the expected time until a server's calls complete, in milliseconds."""
        return max(
            (call.remaining_ms(now) for call in self.calls.get(state.server.name, ())), default=0.0
        )

    def should_wait_for_more(
        self, usable: Sequence[ServerState], pieces: int, limits: BatchLimits, now: float
    ) -> bool:
        """Return whether a call should wait for more pieces because all servers limit their rate.

        Calls are spaced evenly at the servers' total rate, so that each holds the pieces that have
        arrived since the last one. There is no wait while more than half of the servers accept a
        request at once, as after a time of low load.

        Args:
            usable: The servers that may be sent calls.
            pieces: The number of pieces that the call would hold now.
            limits: The batch limits of a server.
            now: The clock's time.
        """
        if pieces >= limits.pieces or not self.rate_limits.limited(one.server for one in usable):
            return False
        accepting = sum(self.rate_limits.wait_ms(one.server, self.service) <= 0 for one in usable)
        if 2 * accepting > len(usable):
            return False
        per_s = sum(self.rate_limits.per_s(one.server, self.service) for one in usable)
        return now - self.limited_call_at < MS_PER_SECOND / per_s

    def pieces_per_ms(self, state: ServerState, limits: BatchLimits, now: float) -> float:
        """Return a server's throughput with full calls, in pieces per millisecond."""
        per_ms = 1.0 / (limits.expected_ms(limits.pieces) * state.time_factor(now))
        limited = self.rate_limits.per_s(state.server, self.service) / MS_PER_SECOND
        return limits.pieces * min(per_ms, limited)

    def is_better_to_wait(
        self,
        slow: ServerState,
        usable: Sequence[ServerState],
        waiting: int,
        limits: BatchLimits,
        now: float,
    ) -> bool:
        """Return whether busy servers would complete the waiting pieces sooner than a slow one."""
        if slow.time_factor(now) <= SLOW_FACTOR:
            return False
        pieces = min(waiting, limits.pieces)
        alone_ms = limits.expected_ms(pieces) * slow.time_factor(now)
        capacity = 0
        for state in usable:
            if state is slow or state.time_factor(now) > SLOW_FACTOR:
                continue
            remaining_ms = self.remaining_ms(state, now)
            if remaining_ms + limits.expected_ms(pieces) * state.time_factor(now) < alone_ms:
                capacity += limits.pieces
        return waiting <= capacity

    def is_free(self, state: ServerState, limits: BatchLimits, now: float) -> bool:
        """Return whether a server may be sent a call now."""
        paused = self.paused.get(state.server.name, 0.0) > now
        if not self.rate_limits.has_token(state.server, self.service):
            return False
        if self.rate_limits.rooms.is_fragile(state.server.name):
            # An overdue call may still wait there, and another one would be rejected.
            running = self.rate_limits.rooms.running(state.server.name)
        else:
            running = self.running(state) + len(self.uncertain_calls(state)) // 2
        return not paused and running < limits.calls

    def running(self, state: ServerState) -> int:
        """Return the number of calls running at a server, without the overdue ones."""
        name = state.server.name
        return len(self.calls.get(name, ())) - len(self.overdue.get(name, ()))
