# lending.py -- Chooses a data centre for pieces that would wait long in their own
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Chooses a data centre for pieces that would wait long in their own."""

from __future__ import annotations

from collections.abc import Iterable

from mountladder.clocks.clock import Clock
from mountladder.forwarding.backlog import PLACES, Backlog, by_rank
from mountladder.forwarding.piecequeue import FAR_PATIENCE_MS
from mountladder.forwarding.stagejob import StageJob

# Pieces are sent to another data centre only if they start sooner there by at least this, about one
# call of a stage service. With half as much, equally busy data centres exchanged a quarter of their
# stages on backlogs that were a heartbeat old, and twice as many results crossed.
LEAST_GAIN_MS = 250.0
# A reported backlog expires after this time: four heartbeats between coordinators.
TOLD_MS = 1_000.0


class Lending:
    """Chooses between the local servers of a divided service and those of other data centres.

    Sending a stage to the coordinator of another data centre is called lending it. The expected
    waits there are those that its coordinator reported last, plus the pieces sent there since, so
    that simultaneous stages don't all go to the same data centre.

    Args:
        clock: The clock.
        datacentre: The data centre of this instance.

    Attributes:
        told: The newest backlog by service and data centre, and when it was received.
        sent_ms: The wait added by pieces sent there since, by service and data centre.
    """

    def __init__(self, clock: Clock, datacentre: str) -> None:
        self.clock = clock
        self.datacentre = datacentre
        self.told: dict[tuple[str, str], tuple[Backlog, float]] = {}
        self.sent_ms: dict[tuple[str, str], float] = {}

    def hear(self, backlog: Backlog, datacentre: str) -> None:
        """Record the backlog that another data centre reports."""
        key = (backlog.service, datacentre)
        self.told[key] = (backlog, self.clock.now())
        self.sent_ms.pop(key, None)

    def wait_ms(self, service: str, datacentre: str, here: int) -> float:
        """Return the expected wait in another data centre in milliseconds; infinite if unknown.

        Args:
            service: The service.
            datacentre: The data centre.
            here: The pieces' priority class, one of PLACES.
        """
        backlog, at = self.told.get((service, datacentre), (None, 0.0))
        age_ms = self.clock.now() - at
        if backlog is None or age_ms > TOLD_MS or not backlog.own_ms:
            return float("inf")
        # The reported wait is not reduced by its age: about as many pieces have arrived since.
        return backlog.own_ms[here] + self.sent_ms.get((service, datacentre), 0.0)

    def least_waits(self, service: str, datacentres: Iterable[str]) -> tuple[float, ...]:
        """Return the shortest expected waits if lent, plus the minimum gain, by priority class."""
        names = list(datacentres)
        return tuple(
            min((self.wait_ms(service, one, here) for one in names), default=float("inf"))
            + LEAST_GAIN_MS
            for here in PLACES
        )

    def choose(self, job: StageJob, own_ms: float, datacentres: Iterable[str]) -> str:
        """Return the data centre to send the pieces of a stage to; empty for this one.

        Args:
            job: The pieces.
            own_ms: Their expected wait in this data centre, in milliseconds.
            datacentres: Those whose coordinators can be reached.
        """
        here = job.place(self.clock.now())
        waits = {one: self.wait_ms(job.service, one, here) for one in datacentres}
        if not waits:
            return ""
        near_ms = by_rank(FAR_PATIENCE_MS, job.urgency)
        if job.datacentre in waits:
            return job.datacentre if waits[job.datacentre] <= own_ms + near_ms else ""
        least_ms = LEAST_GAIN_MS + (near_ms if job.datacentre == self.datacentre else 0.0)
        best = min(waits, key=waits.__getitem__)
        return best if waits[best] + least_ms < own_ms else ""

    def lend(self, job: StageJob, datacentre: str, piece_ms: float) -> None:
        """Add the pieces of a stage to the expected wait of the data centre that they are sent to.

        Args:
            job: The pieces.
            datacentre: The data centre they are sent to.
            piece_ms: How much each piece adds to the wait there, in milliseconds.
        """
        key = (job.service, datacentre)
        self.sent_ms[key] = self.sent_ms.get(key, 0.0) + job.pieces * piece_ms
