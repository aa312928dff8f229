# returnschedule.py -- Decides when the refused callers of an instance are to return
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Decides when the refused callers of an instance are to return."""

from __future__ import annotations

from collections.abc import Mapping

from mountladder.admission.attemptkind import MIN_RETURN_MS
from mountladder.admission.refusedrequest import RefusedRequest
from mountladder.admission.returntime import ReturnTime
from mountladder.forwarding.backlog import MAX_RANK

# Part of a service's throughput that returning callers get at least. Without it, none of them could
# return while first attempts ask for everything, although they go before those that give way.
MIN_RETURN_SHARE = 0.1
# Turns are assigned at most this far ahead, in milliseconds: an overload lasts up to some tens of
# seconds, and what was assigned in it must not keep callers away for long after it.
MAX_AHEAD_MS = 30_000.0


def return_rate(throughput: float, arriving: float, instances: int) -> float:
    """Return the rate at which a service can serve retries from one instance.

    Args:
        throughput: What the service makes, in pieces per millisecond.
        arriving: What first attempts ask of it at all instances, in pieces per millisecond.
        instances: The number of instances that send pieces to it.
    """
    return max(MIN_RETURN_SHARE * throughput, throughput - arriving) / max(1, instances)


class ReturnSchedule:
    """Decides when the refused callers of one instance are to return; times are passed in.

    Handles refused callers that return in a wave and are refused again. Each gets a turn of its
    own at every service that delays its request, at the instance's share of what the service can
    make for retries. A turn delays the next ones of its rank and of less urgent ranks.

    Attributes:
        next_at: When the next turn is free, by service and rank.
    """

    def __init__(self) -> None:
        self.next_at: dict[tuple[str, int], float] = {}

    def schedule(
        self,
        refused: RefusedRequest,
        rates: Mapping[str, float],
        phase: float,
        now: float,
        returns: bool = True,
    ) -> ReturnTime:
        """Return when a refused caller is to return, and assign its turn.

        Args:
            refused: The refused request.
            rates: The rate of retries of each service that delays it; see return_rate.
            phase: A random number from 0 to 1. If no turn is assigned, the first one is free after
                this part of the time between turns, so that not every instance has its first
                refused caller return at once.
            now: The clock's time.
            returns: Whether the caller is expected to return; callers retry once.
        """
        earliest_ms, latest_ms = refused.earliest_ms(), refused.latest_ms()
        if earliest_ms > latest_ms:
            after_ms = max(MIN_RETURN_MS, min(refused.waiting_ms, MAX_AHEAD_MS))
            return ReturnTime(after_ms, False, earliest_ms, 0.0, latest_ms)
        for service, pieces in refused.pieces.items():
            self.prepare(service, pieces / rates[service], phase, now + earliest_ms, now)
        turns = (self.next_at[service, refused.rank] - now for service in refused.pieces)
        turn_ms = max(turns, default=0.0)
        after_ms = max(earliest_ms, turn_ms)
        if after_ms > latest_ms or not refused.is_before_deadline(after_ms):
            # A caller that returned before its turn would be refused again.
            after_ms = max(after_ms, min(refused.waiting_ms, MAX_AHEAD_MS))
            return ReturnTime(after_ms, False, earliest_ms, turn_ms, latest_ms)
        if returns:
            for service, pieces in refused.pieces.items():
                interval_ms = pieces / rates[service]
                self.assign(service, refused.rank, interval_ms, now + earliest_ms, now)
        return ReturnTime(after_ms, True, earliest_ms, turn_ms, latest_ms)

    def prepare(
        self, service: str, interval_ms: float, phase: float, earliest: float, now: float
    ) -> None:
        """Set the first turns of a service's ranks, if none after a time is assigned.

        Args:
            service: The service.
            interval_ms: The time between turns for the pieces of a request, in milliseconds.
            phase: See schedule.
            earliest: When the first caller could return.
            now: The clock's time.
        """
        first = min(earliest + phase * interval_ms, now + MAX_AHEAD_MS)
        for rank in range(MAX_RANK + 1):
            key = (service, rank)
            if self.next_at.get(key, now) <= now:
                self.next_at[key] = first

    def assign(
        self, service: str, rank: int, interval_ms: float, earliest: float, now: float
    ) -> None:
        """Move the next turns of a rank and of less urgent ones behind a turn that is assigned.

        Args:
            service: The service.
            rank: The rank of the caller that got the turn.
            interval_ms: The time between turns for the pieces of its request, in milliseconds.
            earliest: When it could return without turns; what the service makes before that is not
                left for retries.
            now: The clock's time.
        """
        for one in range(rank, MAX_RANK + 1):
            later = max(self.next_at[service, one], earliest) + interval_ms
            self.next_at[service, one] = min(later, now + MAX_AHEAD_MS)
