# lending.py -- Which data centre takes pieces that would wait long in their own
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Which data centre takes pieces that would wait long in their own."""

from __future__ import annotations

from collections.abc import Iterable

from mountladder.clocks.clock import Clock
from mountladder.forwarding.backlog import PLACES, Backlog, by_rank
from mountladder.forwarding.piecequeue import FAR_PATIENCE_MS
from mountladder.forwarding.stagejob import StageJob

# Pieces go elsewhere where they begin sooner by this much, a call of the stage services in use.
# With half of that data centres that were equally busy sent each other a quarter of their stages,
# on figures that are a heartbeat old, and results crossed twice as often.
LEAST_GAIN_MS = 250.0
# A backlog that was told so long ago says nothing any more: four heartbeats between places.
TOLD_MS = 1_000.0


class Lending:
    """Chooses between a data centre's own servers of a divided service and those of others.

    It knows how long pieces wait elsewhere by what the places there tell, and adds what was sent
    there since, so that not all pieces of a moment go to the same one.

    Args:
        clock: The clock.
        datacentre: The data centre of this instance.

    Attributes:
        told: The newest backlog of each service and data centre, with the time it came.
    """

    def __init__(self, clock: Clock, datacentre: str) -> None:
        self.clock = clock
        self.datacentre = datacentre
        self.told: dict[tuple[str, str], tuple[Backlog, float]] = {}
        self.sent_ms: dict[tuple[str, str], float] = {}

    def hear(self, backlog: Backlog, datacentre: str) -> None:
        """Take in how long pieces wait in another data centre."""
        key = (backlog.service, datacentre)
        self.told[key] = (backlog, self.clock.now())
        self.sent_ms.pop(key, None)

    def wait_ms(self, service: str, datacentre: str, here: int) -> float:
        """Return how long new pieces would wait in another data centre; infinite if unknown.

        Args:
            service: The service.
            datacentre: The data centre.
            here: Their place among others, one of PLACES.
        """
        backlog, at = self.told.get((service, datacentre), (None, 0.0))
        age_ms = self.clock.now() - at
        if backlog is None or age_ms > TOLD_MS or not backlog.own_ms:
            return float("inf")
        # What was told is not taken to be worked off: as much has come there meanwhile.
        return backlog.own_ms[here] + self.sent_ms.get((service, datacentre), 0.0)

    def least_waits(self, service: str, datacentres: Iterable[str]) -> tuple[float, ...]:
        """Return how long new pieces would wait if they were lent, by their place."""
        names = list(datacentres)
        return tuple(
            min((self.wait_ms(service, one, here) for one in names), default=float("inf"))
            + LEAST_GAIN_MS
            for here in PLACES
        )

    def choose(self, job: StageJob, own_ms: float, datacentres: Iterable[str]) -> str:
        """Return the data centre that is to take the pieces of a stage; empty for this one.

        Args:
            job: The pieces.
            own_ms: How long they would wait here.
            datacentres: Those whose places can be reached.
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
        """Record that pieces are sent to another data centre.

        Args:
            job: The pieces.
            datacentre: Where they go.
            piece_ms: By how much each lengthens the wait there.
        """
        key = (job.service, datacentre)
        self.sent_ms[key] = self.sent_ms.get(key, 0.0) + job.pieces * piece_ms
