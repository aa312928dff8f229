# admission.py -- Admission control: runs, queues or sheds requests by team
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Admission control: runs, queues or sheds requests by team."""

from __future__ import annotations

from collections import Counter

from mountladder.clocks.clock import Clock
from mountladder.code import Code
from mountladder.configuration.team import Team
from mountladder.errors import RefusalError
from mountladder.limits.waiter import Waiter


class Admission:
    """Shares an instance's capacity for running requests among teams by their weights.

    While there is capacity every request is admitted, so that teams may use unused shares of
    others. Otherwise requests wait. A free slot goes to the team with the fewest running requests
    for its share, within the team by urgency and then by the latest time of admission. Where too
    many requests wait, one of the team with the most requests for its share is refused at once.

    Args:
        clock: The clock.
        max_running: The maximum number of running requests.
        max_waiting: The maximum number of waiting requests.
    """

    def __init__(self, clock: Clock, max_running: int, max_waiting: int) -> None:
        self.clock = clock
        self.max_running = max_running
        self.max_waiting = max_waiting
        self.running: Counter[str] = Counter()
        self.total = 0
        self.waiting: list[Waiter] = []
        self.closed = False

    def enter(self, team: Team, urgency: int, latest: float) -> None:
        """Admit a request, after a wait where no slot is free.

        Args:
            team: The team that the request belongs to.
            urgency: The urgency of its pipeline.
            latest: The latest time of admission, in the clock's milliseconds.

        Raises:
            RefusalError: It was shed, its team is at its limit, no slot became free in time, or the
                instance is shutting down.
        """
        if self.closed:
            raise RefusalError("", Code.SHUTTING_DOWN, retry_after_ms=1_000)
        if team.most_running and self.running[team.name] >= team.most_running:
            raise RefusalError("", Code.TEAM_LIMIT, retry_after_ms=1_000)
        if self.total < self.max_running and not self.waiting:
            self.occupy(team)
            return
        waiter = Waiter(team, urgency, latest)
        self.queue(waiter)
        self.wait(waiter)

    def leave(self, team: Team) -> None:
        """Release a slot and admit the next waiting request."""
        self.running[team.name] -= 1
        self.total -= 1
        self.admit()

    def occupy(self, team: Team) -> None:
        """Occupy a slot."""
        self.running[team.name] += 1
        self.total += 1

    def queue(self, waiter: Waiter) -> None:
        """Enqueue a request, and shed one where the queue is too long."""
        self.waiting.append(waiter)
        if len(self.waiting) > self.max_waiting:
            shed = self.request_to_shed()
            self.waiting.remove(shed)
            code = Code.TEAM_LIMIT if len(self.teams_waiting()) > 1 else Code.OVERLOADED
            shed.refuse(RefusalError("too many requests are waiting", code, retry_after_ms=1_000))

    def wait(self, waiter: Waiter) -> None:
        """Wait until a request is admitted or refused, or its latest time of admission passes."""
        try:
            self.clock.wait(waiter.decided, waiter.latest - self.clock.now())
        except BaseException:
            self.withdraw(waiter)
            raise
        if not waiter.decided.is_set():
            self.waiting.remove(waiter)
            raise RefusalError(
                "no slot became free in time", Code.DEADLINE_UNMEETABLE, retry_after_ms=1_000
            )
        if waiter.refusal is not None:
            raise waiter.refusal

    def withdraw(self, waiter: Waiter) -> None:
        """Remove a request whose wait was interrupted, such as by a caller that disconnected.

        Where it was admitted already, its slot is released."""
        if waiter in self.waiting:
            self.waiting.remove(waiter)
        elif waiter.refusal is None:
            self.leave(waiter.team)

    def admit(self) -> None:
        """Admit waiting requests while slots are free; refuse those that are too late."""
        while self.waiting and self.total < self.max_running:
            waiter = min(self.waiting, key=self.order)
            self.waiting.remove(waiter)
            if waiter.latest < self.clock.now():
                waiter.refuse(RefusalError("", Code.DEADLINE_UNMEETABLE, retry_after_ms=1_000))
                continue
            self.occupy(waiter.team)
            waiter.decided.set()

    def order(self, waiter: Waiter) -> tuple[float, int, float]:
        """Return the sort key by which waiting requests are admitted."""
        used = self.running[waiter.team.name] / waiter.team.share
        return used, waiter.urgency, waiter.latest

    def request_to_shed(self) -> Waiter:
        """Return the request to shed."""
        waiting = self.teams_waiting()

        def weight(waiter: Waiter) -> tuple[float, int, float]:
            """Return the sort key by which a waiting request is shed."""
            held = waiting[waiter.team.name] + self.running[waiter.team.name]
            return held / waiter.team.share, waiter.urgency, waiter.latest

        return max(self.waiting, key=weight)

    def teams_waiting(self) -> Counter[str]:
        """Return the number of waiting requests by team."""
        return Counter(waiter.team.name for waiter in self.waiting)

    def close(self) -> None:
        """Refuse all waiting and all later requests."""
        self.closed = True
        for waiter in self.waiting:
            waiter.refuse(RefusalError("", Code.SHUTTING_DOWN, retry_after_ms=1_000))
        self.waiting.clear()
