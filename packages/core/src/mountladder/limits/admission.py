# admission.py -- Which requests run and which wait or are refused
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Which requests run and which wait or are refused."""

from __future__ import annotations

from collections import Counter

from mountladder.clocks.clock import Clock
from mountladder.code import Code
from mountladder.configuration.team import Team
from mountladder.errors import RefusalError
from mountladder.limits.waiter import Waiter


class Admission:
    """Shares an instance's room for running requests among teams by their weights.

    While there is room everyone is admitted, so that unused share is lent. When there is none,
    requests wait. A free place goes to the team with the least running for its share, and within
    the team to the request that must start soonest. Where too many wait, one of the team that
    holds the most for its share is refused at once.

    Args:
        clock: The clock.
        most_running: The most requests that run at once.
        most_waiting: The most requests that wait at once.
    """

    def __init__(self, clock: Clock, most_running: int, most_waiting: int) -> None:
        self.clock = clock
        self.most_running = most_running
        self.most_waiting = most_waiting
        self.running: Counter[str] = Counter()
        self.total = 0
        self.waiting: list[Waiter] = []
        self.closed = False

    def enter(self, team: Team, urgency: int, latest: float) -> None:
        """Wait for a place.

        Args:
            team: The team that the request belongs to.
            urgency: The urgency of its pipeline.
            latest: When it must be admitted at the latest, in the clock's milliseconds.

        Raises:
            RefusalError: There is no place for it in time.
        """
        if self.closed:
            raise RefusalError("", Code.SHUTTING_DOWN, retry_after_ms=1_000)
        if team.most_running and self.running[team.name] >= team.most_running:
            raise RefusalError("", Code.TEAM_LIMIT, retry_after_ms=1_000)
        if self.total < self.most_running and not self.waiting:
            self.take(team)
            return
        waiter = Waiter(team, urgency, latest)
        self.queue(waiter)
        self.wait(waiter)

    def leave(self, team: Team) -> None:
        """Give a place back and admit the next request that waits."""
        self.running[team.name] -= 1
        self.total -= 1
        self.admit()

    def take(self, team: Team) -> None:
        """Take a place."""
        self.running[team.name] += 1
        self.total += 1

    def queue(self, waiter: Waiter) -> None:
        """Let a request wait, shedding another one where too many do."""
        self.waiting.append(waiter)
        if len(self.waiting) > self.most_waiting:
            shed = self.heaviest()
            self.waiting.remove(shed)
            code = Code.TEAM_LIMIT if len(self.teams_waiting()) > 1 else Code.OVERLOADED
            shed.refuse(RefusalError("too many requests wait", code, retry_after_ms=1_000))

    def wait(self, waiter: Waiter) -> None:
        """Wait until a request is admitted or refused, or it is too late for it."""
        try:
            self.clock.wait(waiter.settled, waiter.latest - self.clock.now())
        except BaseException:
            self.withdraw(waiter)
            raise
        if not waiter.settled.is_set():
            self.waiting.remove(waiter)
            raise RefusalError(
                "no place was free in time", Code.DEADLINE_UNMEETABLE, retry_after_ms=1_000
            )
        if waiter.refusal is not None:
            raise waiter.refusal

    def withdraw(self, waiter: Waiter) -> None:
        """Take back a request whose caller went away while it waited."""
        if waiter in self.waiting:
            self.waiting.remove(waiter)
        elif waiter.refusal is None:
            self.leave(waiter.team)

    def admit(self) -> None:
        """Admit waiting requests while there is room; refuse those it is too late for."""
        while self.waiting and self.total < self.most_running:
            waiter = min(self.waiting, key=self.order)
            self.waiting.remove(waiter)
            if waiter.latest < self.clock.now():
                waiter.refuse(RefusalError("", Code.DEADLINE_UNMEETABLE, retry_after_ms=1_000))
                continue
            self.take(waiter.team)
            waiter.settled.set()

    def order(self, waiter: Waiter) -> tuple[float, int, float]:
        """Return the sort key by which waiting requests are admitted."""
        used = self.running[waiter.team.name] / waiter.team.share
        return used, waiter.urgency, waiter.latest

    def heaviest(self) -> Waiter:
        """Return the request to shed."""
        waiting = self.teams_waiting()

        def weight(waiter: Waiter) -> tuple[float, int, float]:
            """Return the sort key by which one is shed."""
            held = waiting[waiter.team.name] + self.running[waiter.team.name]
            return held / waiter.team.share, waiter.urgency, waiter.latest

        return max(self.waiting, key=weight)

    def teams_waiting(self) -> Counter[str]:
        """Return how many requests of each team wait."""
        return Counter(waiter.team.name for waiter in self.waiting)

    def close(self) -> None:
        """Refuse every request that waits and all that come."""
        self.closed = True
        for waiter in self.waiting:
            waiter.refuse(RefusalError("", Code.SHUTTING_DOWN, retry_after_ms=1_000))
        self.waiting.clear()
