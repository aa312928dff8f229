# lending.py -- Chooses a data centre for pieces that would wait long in their own
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Chooses a data centre for pieces that would wait long in their own."""

from __future__ import annotations

import math
from collections.abc import Iterable

from mountladder.clocks.clock import Clock
from mountladder.forwarding.backlog import PRIORITY_CLASSES, Backlog, value_for_rank
from mountladder.forwarding.piecequeue import LOCALITY_WAIT_MS
from mountladder.forwarding.stagejob import StageJob

# Pieces are sent to another data centre only if they start sooner there by at least this, about one
# call of a stage service. With half as much, equally busy data centres exchanged a quarter of their
# stages on backlogs that were a heartbeat old, and twice as many results crossed.
MIN_GAIN_MS = 250.0
# A reported backlog expires after this time: four heartbeats between coordinators.
BACKLOG_TTL_MS = 1_000.0


class Lending:
    """Chooses between the local servers of a divided service and those of other data centres.

    Sending a stage to the coordinator of another data centre is called lending it. The expected
    waits there are those that its coordinator reported last, plus the pieces sent there since, so
    that simultaneous stages don't all go to the same data centre.

    Args:
        clock: The clock.
        datacentre: The data centre of this instance.

    Attributes:
        reported: The newest backlog by service and data centre, and when it was received.
        added_wait_ms: The wait added by pieces sent there since, by service and data centre.
    """

    def __init__(self, clock: Clock, datacentre: str) -> None:
        self.clock = clock
        self.datacentre = datacentre
        self.reported: dict[tuple[str, str], tuple[Backlog, float]] = {}
        self.added_wait_ms: dict[tuple[str, str], float] = {}

    def record_backlog(self, backlog: Backlog, datacentre: str) -> None:
        """Record the backlog that another data centre reports."""
        key = (backlog.service, datacentre)
        self.reported[key] = (backlog, self.clock.now())
        self.added_wait_ms.pop(key, None)

    def wait_ms(self, service: str, datacentre: str, priority: int) -> float:
        """Return the expected wait in another data centre in milliseconds; infinite if unknown.

        Args:
            service: The service.
            datacentre: The data centre.
            priority: The pieces' priority class, one of PRIORITY_CLASSES.
        """
        backlog, at = self.reported.get((service, datacentre), (None, 0.0))
        age_ms = self.clock.now() - at
        if backlog is None or age_ms > BACKLOG_TTL_MS or not backlog.local_waits_ms:
            return float("inf")
        # The reported wait is not reduced by its age: about as many pieces have arrived since.
        return backlog.local_waits_ms[priority] + self.added_wait_ms.get((service, datacentre), 0.0)

    def begins_about_as_soon(
        self, service: str, datacentre: str, priority: int, local_wait_ms: float
    ) -> bool:
        """Return whether pieces begin in another data centre at most MIN_GAIN_MS later than here.

        Args:
            service: The service.
            datacentre: The other data centre.
            priority: The pieces' priority class, one of PRIORITY_CLASSES.
            local_wait_ms: Their expected wait in this data centre, in milliseconds.
        """
        wait_ms = self.wait_ms(service, datacentre, priority)
        return math.isfinite(wait_ms) and wait_ms <= local_wait_ms + MIN_GAIN_MS

    def min_waits_ms(self, service: str, datacentres: Iterable[str]) -> tuple[float, ...]:
        """Return the shortest expected waits if lent, plus the minimum gain, by priority class."""
        names = list(datacentres)
        return tuple(
            min((self.wait_ms(service, one, priority) for one in names), default=float("inf"))
            + MIN_GAIN_MS
            for priority in PRIORITY_CLASSES
        )

    def choose(self, job: StageJob, local_wait_ms: float, datacentres: Iterable[str]) -> str:
        """Return the data centre to send the pieces of a stage to; empty for this one.

        Args:
            job: The pieces.
            local_wait_ms: Their expected wait in this data centre, in milliseconds.
            datacentres: Those whose coordinators can be reached.
        """
        priority = job.priority_class(self.clock.now())
        waits = {one: self.wait_ms(job.service, one, priority) for one in datacentres}
        if not waits:
            return ""
        locality_wait_ms = value_for_rank(LOCALITY_WAIT_MS, job.urgency)
        if job.datacentre in waits:
            return (
                job.datacentre if waits[job.datacentre] <= local_wait_ms + locality_wait_ms else ""
            )
        min_gain_ms = MIN_GAIN_MS + (locality_wait_ms if job.datacentre == self.datacentre else 0.0)
        best = min(waits, key=waits.__getitem__)
        return best if waits[best] + min_gain_ms < local_wait_ms else ""

    def lend(self, job: StageJob, datacentre: str, piece_ms: float) -> None:
        """Add the pieces of a stage to the expected wait of the data centre that they are sent to.

        Args:
            job: The pieces.
            datacentre: The data centre they are sent to.
            piece_ms: How much each piece adds to the wait there, in milliseconds.
        """
        key = (job.service, datacentre)
        self.added_wait_ms[key] = self.added_wait_ms.get(key, 0.0) + job.pieces * piece_ms
