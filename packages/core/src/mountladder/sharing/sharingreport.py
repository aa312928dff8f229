# sharingreport.py -- Counts and logs what floors and shares of teams changed
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Counts and logs what floors and shares of teams changed."""

from __future__ import annotations

from collections.abc import Sequence

from eliot import log_message

from mountladder.forwarding.jobprogress import JobProgress
from mountladder.metrics.metric import Metric
from mountladder.metrics.metrics import Metrics
from mountladder.sharing.arrangement import Arrangement

# The least time between two lines of one service. A busy service sends some 50 calls a second.
LINE_INTERVAL_MS = 1_000.0
# The maximum number of requests and of teams that a line names.
MAX_NAMED = 16


class SharingReport:
    """Counts the pieces that a floor or a team's share sent earlier, and logs them once a second.

    Args:
        service: The service of the pieces.
        metrics: Counts them.
    """

    def __init__(self, service: str, metrics: Metrics) -> None:
        self.service = service
        self.metrics = metrics
        self.logged_at = float("-inf")
        self.floor_pieces = 0
        self.team_pieces = 0
        self.requests: dict[str, None] = {}

    def record(
        self, batch: Sequence[tuple[JobProgress, int]], arrangement: Arrangement, now: float
    ) -> None:
        """Record a call that is sent with pieces of an arrangement."""
        by_floor = [one for one in batch if id(one) in arrangement.by_floor]
        by_team = [one for one in batch if id(one) in arrangement.by_team]
        if not by_floor and not by_team:
            return
        self.floor_pieces += len(by_floor)
        self.team_pieces += len(by_team)
        self.metrics.count(Metric.FLOOR_PIECES, number=len(by_floor))
        self.metrics.count(Metric.TEAM_PIECES, number=len(by_team))
        for progress, _ in (*by_floor, *by_team):
            if len(self.requests) < MAX_NAMED:
                self.requests[progress.job.request] = None
        if now - self.logged_at >= LINE_INTERVAL_MS:
            self.log(arrangement, now)

    def log(self, arrangement: Arrangement, now: float) -> None:
        """Write a line about what has changed since the last one."""
        floors = arrangement.floors
        log_message(
            "order-shared",
            service=self.service,
            floor_pieces=self.floor_pieces,
            team_pieces=self.team_pieces,
            waiting=len(arrangement.waiting),
            floors={str(one): round(part, 3) for one, part in floors.fractions.items()},
            sent={str(one): round(number) for one, number in floors.sent.items()},
            sent_late={str(one): round(number) for one, number in floors.sent_late.items()},
            excess_teams=sorted(arrangement.excess_teams)[:MAX_NAMED],
            requests=list(self.requests),
        )
        self.logged_at = now
        self.floor_pieces = self.team_pieces = 0
        self.requests.clear()
