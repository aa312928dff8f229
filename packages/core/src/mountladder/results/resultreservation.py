# resultreservation.py -- Reserves memory for results where they are used soon
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Reserves memory for results where they are used soon."""

from __future__ import annotations

from collections.abc import Callable, Collection, Sequence
from dataclasses import replace
from typing import TYPE_CHECKING

from eliot import log_message

from mountladder.forwarding.batchlimits import BatchLimits
from mountladder.forwarding.cataloguefollower import CatalogueFollower
from mountladder.forwarding.jobprogress import JobProgress
from mountladder.forwarding.piecequeue import PieceQueue, QueuedPiece
from mountladder.forwarding.stagejob import StageJob
from mountladder.metrics.metric import Metric
from mountladder.metrics.metrics import Metrics
from mountladder.results.pipelinesteps import PipelineSteps
from mountladder.results.resultneed import ResultNeed, need
from mountladder.routing.serverstate import ServerState

if TYPE_CHECKING:
    from mountladder.forwarding.stagebacklogs import StageBacklogs

# Stages whose next step is behind get at most this fraction of a server's memory: the rest is for
# those that arrive before their results have expired.
HELD_FRACTION = 0.5
# A stage is held back for at most this fraction of the time after which results expire. What was
# expected of the next step has proved wrong by then, and a caller gains nothing by a longer wait.
MAX_HELD_FRACTION = 0.5
# How long a need is cached, in milliseconds: as long as a computed backlog.
CACHE_MS = 20.0
# Maximum number of cached needs: stages differ by their route, rank and number of pieces.
MAX_NEEDS = 512
Key = tuple[int, float, int, int, bool]


class ResultReservation:
    """Decides which waiting pieces may have memory for their results at a server.

    Load: a consumer that stalls. The results of the stages before it would fill the memory, and
    expire unused, while stages whose results are used at once find none.

    Args:
        follower: Holds the catalogue in force.
        metrics: Counts the stages that are held back.
        is_enabled: Returns whether stages may be held back.

    Attributes:
        backlogs: The expected waits that coordinators announce, or None before they are known.
        cache: How long the results of like stages are needed, and until when that is cached.
    """

    def __init__(
        self, follower: CatalogueFollower, metrics: Metrics, is_enabled: Callable[[], bool]
    ) -> None:
        self.follower = follower
        self.metrics = metrics
        self.is_enabled = is_enabled
        self.steps = PipelineSteps(follower)
        self.backlogs: StageBacklogs | None = None
        self.cache: dict[Key, tuple[ResultNeed, float]] = {}

    def need(self, job: StageJob, limits: BatchLimits, now: float) -> ResultNeed:
        """Return how long the results of a stage are needed if its call begins now."""
        # One tuple and one look-up for each waiting stage: this runs for each offer to a server.
        key = (job.stage, job.result_bytes, job.pieces, job.urgency, job.due < now)
        cached = self.cache.get(key)
        if cached is not None and cached[1] > now:
            return cached[0]
        if len(self.cache) >= MAX_NEEDS:
            self.cache.clear()
        computed = self.compute_need(job, limits, now)
        self.cache[key] = (computed, now + CACHE_MS)
        return computed

    def compute_need(self, job: StageJob, limits: BatchLimits, now: float) -> ResultNeed:
        """Compute how long the results of a stage are needed from the announced backlogs."""
        call_ms = limits.expected_ms(min(job.pieces, limits.pieces))
        routes = [
            [self.step_ms(service, job, now) for service in services]
            for services in self.steps.next_services(job)
        ]
        return need(call_ms, routes, limits.result_ttl_ms)

    def step_ms(self, service: str, job: StageJob, now: float) -> tuple[float, float]:
        """Return the expected wait and call time of a stage's next step, in milliseconds."""
        found = self.follower.service(service)
        call_ms = found.batch.expected_ms(found.batch.pieces) if found and found.batch else 0.0
        if self.backlogs is None:
            return 0.0, call_ms
        return self.backlogs.wait_ms(service, job.urgency, job.gives_way(now)), call_ms

    def choose(
        self,
        queue: PieceQueue,
        state: ServerState,
        used_bytes: float,
        served_datacentres: set[str],
        limits: BatchLimits,
        now: float,
    ) -> list[QueuedPiece]:
        """Return the first pieces that fit into a server's result memory; see PieceQueue.choose."""
        free_bytes = limits.result_memory_bytes - used_bytes
        if all(progress.job.result_bytes > free_bytes for progress, _ in queue.waiting):
            # Servers without memory are offered pieces at each poll, so this has to be cheap.
            return []
        held = self.held_back(queue.waiting, used_bytes, limits, now)
        if not held:
            return queue.choose(state, used_bytes, served_datacentres, limits, now)
        others = [one for one in queue.waiting if one[0] not in held]
        batch = queue.choose(state, used_bytes, served_datacentres, limits, now, others)
        if len(batch) == len(others):
            used_bytes += sum(progress.job.result_bytes for progress, _ in batch)
            room = replace(limits, result_memory_mb=HELD_FRACTION * limits.result_memory_mb)
            last = [one for one in queue.waiting if one[0] in held]
            batch += queue.choose(state, used_bytes, served_datacentres, room, now, last)
            if not batch and not used_bytes:
                # A result that is larger than that fraction is made alone.
                batch = queue.choose(state, 0.0, served_datacentres, limits, now)[:1]
        self.record(held - {progress for progress, _ in batch}, used_bytes, limits, now)
        return batch[: limits.pieces]

    def held_back(
        self, waiting: Sequence[QueuedPiece], used_bytes: float, limits: BatchLimits, now: float
    ) -> set[JobProgress]:
        """Return the stages that get memory at a server only after all others.

        There are none if the results of all waiting pieces fit. A stage that has begun already is
        not among them, since its first results take up memory until it is complete, nor is one
        that has waited for long.
        """
        if not self.is_enabled():
            return set()
        held_since = now - MAX_HELD_FRACTION * limits.result_ttl_ms
        needed_bytes = sum(progress.job.result_bytes for progress, _ in waiting)
        if used_bytes + needed_bytes <= limits.result_memory_bytes:
            return set()
        held = set()
        last = None
        for progress, _ in waiting:
            # The pieces of a stage mostly follow each other.
            if progress is last or progress.begun:
                continue
            last = progress
            if progress.since >= held_since and self.need(progress.job, limits, now).is_behind:
                held.add(progress)
        return held

    def record(
        self, held: Collection[JobProgress], used_bytes: float, limits: BatchLimits, now: float
    ) -> None:
        """Record the stages that are held back, each once."""
        new = [one for one in held if not one.held_back]
        if not new:
            return
        for one in new:
            one.held_back = True
        self.metrics.count(Metric.STAGES_HELD_BACK, number=len(new))
        waits = [self.need(one.job, limits, now).wait_ms for one in new]
        log_message(
            "stages-held-back",
            service=new[0].job.service,
            requests=sorted(one.job.request for one in new),
            next_wait_ms=round(max(waits)),
            cached_ms=CACHE_MS,
            result_ttl_ms=round(limits.result_ttl_ms),
            used_bytes=round(used_bytes),
            memory_bytes=round(limits.result_memory_bytes),
        )
