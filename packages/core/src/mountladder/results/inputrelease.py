# inputrelease.py -- Releases the inputs of stages once servers have fetched them
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Releases the inputs of stages once servers have fetched them."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING

from eliot import log_message

from mountladder.clocks.clock import Clock
from mountladder.forwarding.cataloguefollower import CatalogueFollower
from mountladder.forwarding.fetchtime import FetchTime
from mountladder.forwarding.jobprogress import JobProgress
from mountladder.forwarding.pieceresult import PieceResult
from mountladder.metrics.metric import Metric
from mountladder.metrics.metrics import Metrics
from mountladder.results.pipelinesteps import PipelineSteps
from mountladder.results.releaseguard import ReleaseGuard

if TYPE_CHECKING:
    from mountladder.forwarding.batchrun import BatchRun


class InputRelease:
    """Releases the inputs of a service's stages when the calls of all their pieces fetched them.

    A server fetches the inputs of a call when the call begins. Releasing them then, rather than
    when the stage is done, frees their memory sooner by about the time of a call.

    Args:
        follower: Holds the catalogue in force.
        clock: The clock.
        metrics: Counts early releases.
        is_enabled: Returns whether inputs may be released early.

    Attributes:
        release: Releases results of any service, given by their handles.
        server_names: Returns the names of the listed servers that hold results, each name being
            unique to one start of a server.
        fetch_time: Learns how long servers take to fetch inputs.
        guard: Pauses early release.
    """

    def __init__(
        self,
        follower: CatalogueFollower,
        clock: Clock,
        metrics: Metrics,
        is_enabled: Callable[[], bool],
    ) -> None:
        self.follower = follower
        self.clock = clock
        self.metrics = metrics
        self.is_enabled = is_enabled
        self.steps = PipelineSteps(follower)
        self.release: Callable[[Sequence[str]], None] = lambda handles: None
        self.server_names: Callable[[Sequence[str]], frozenset[str]] = lambda handles: frozenset()
        self.fetch_time = FetchTime()
        self.guard = ReleaseGuard()

    def call_began(self, run: BatchRun, calls_there: int) -> None:
        """Schedule the release of a call's inputs.

        Args:
            run: The call.
            calls_there: The number of calls at its server, itself included. If there are more than
                the server runs at once, its turn has not come, and nothing has been fetched.
        """
        if not self.is_enabled() or calls_there > run.limits.calls:
            return
        stages = {progress for progress, _ in run.batch if progress.job.releases_inputs}
        if stages:
            size = sum(self.steps.input_bytes(one.job) for one in stages)
            wait_ms = self.fetch_time.wait_ms(size, self.link_mbps(run, stages))
            self.clock.call_later(wait_ms, lambda: self.inputs_fetched(run))

    def link_mbps(self, run: BatchRun, stages: set[JobProgress]) -> float:
        """Return the lowest bandwidth of the links at both ends in Mbit/s, or 0 if unknown."""
        names = {name for one in stages for name in self.steps.input_services(one.job)}
        services = [self.follower.service(name) for name in names]
        sources = [one.batch.link_mbps for one in services if one is not None and one.batch]
        return min((one for one in (run.limits.link_mbps, *sources) if one), default=0.0)

    def inputs_fetched(self, run: BatchRun) -> None:
        """Release the inputs that are not needed any more after a call has fetched them."""
        if not run.ended:
            for progress, fragment in run.batch:
                progress.fetched.add(fragment)
        now = self.clock.now()
        ready = {one for one, _ in run.batch if one.job.releases_inputs and one.has_all_inputs()}
        if not ready or self.guard.is_paused(now):
            return
        handles = []
        for progress in ready:
            progress.inputs_released = True
            progress.input_servers = self.server_names(progress.job.inputs)
            handles += progress.job.inputs
        self.guard.record_releases(len(ready), now)
        self.metrics.count(Metric.EARLY_RELEASES, number=len(ready))
        log_message(
            "inputs-released",
            service=run.batcher.service,
            server=run.state.server.name,
            results=len(handles),
            after_ms=round(now - run.call.started),
            fetch_factor=round(self.fetch_time.factor, 2),
            requests=sorted(one.job.request for one in ready),
        )
        self.release(handles)

    def call_answered(self, run: BatchRun, results: Sequence[PieceResult]) -> None:
        """Record whether a call found the inputs that were released during it."""
        pairs = zip(run.batch, results, strict=True)
        if any(one[0].inputs_released and result.failure is None for one, result in pairs):
            self.fetch_time.record_fetched()

    def copy_without_input(self, progress: JobProgress, fragment: int) -> None:
        """Record that one copy of a piece found an input missing while another one runs."""
        self.metrics.count(Metric.COPIES_WITHOUT_INPUT)
        log_message(
            "copy-without-input",
            request=progress.job.request,
            service=progress.job.service,
            piece=fragment,
            copies=progress.copies[fragment],
            released_early=progress.inputs_released,
        )

    def input_missing(self, progress: JobProgress, fragment: int) -> None:
        """Record that a stage fails since an input is missing."""
        if not progress.inputs_released:
            return
        first_call = progress.attempts[fragment] <= 1
        # An input that may be gone with its server says nothing about early release.
        servers_gone = progress.input_servers != self.server_names(progress.job.inputs)
        pauses = False
        if not servers_gone:
            if first_call:
                self.fetch_time.record_early_release()
            pauses = self.guard.record_needed(self.clock.now())
            self.metrics.count(Metric.EARLY_RELEASES_NEEDED)
        log_message(
            "released-input-missing",
            request=progress.job.request,
            service=progress.job.service,
            first_call=first_call,
            servers_gone=servers_gone,
            fetch_factor=round(self.fetch_time.factor, 2),
            pauses=pauses,
        )
