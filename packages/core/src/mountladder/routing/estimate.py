# estimate.py -- Estimates the time of a whole request
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Estimates the time of a whole request."""

from __future__ import annotations

from dataclasses import dataclass

from mountladder.configuration.backendserver import BackendServer
from mountladder.configuration.stage import Stage
from mountladder.requests.request import Request
from mountladder.requests.runcontext import RunContext
from mountladder.requests.stageplan import levels

LOCAL_SAMPLE_SIZE = 8
REMOTE_SAMPLE_SIZE = 4


@dataclass(frozen=True, slots=True)
class Estimate:
    """The expected time of a whole request, with and without the present load.

    Attributes:
        expected_ms: The time under the present load, in milliseconds.
        unloaded_ms: The time on unloaded servers, in milliseconds.
    """

    expected_ms: float
    unloaded_ms: float

    @property
    def load_delay_ms(self) -> float:
        """Return the share of the time that is due to load, in milliseconds."""
        return self.expected_ms - self.unloaded_ms


def estimate(context: RunContext, request: Request) -> Estimate:
    """Return the expected time of a request.

    The stages of one group run in parallel, so the slowest one counts; groups run in sequence. A
    stage without a usable server counts as 0, since running it reports the specific error.
    """
    length = len(request.input)
    expected = unloaded = 0.0
    for group in levels(request.pipeline.stages):
        estimates = [_stage_estimate(context, request, stage, length) for stage in group]
        slowest = max(estimates, key=lambda one: one.expected_ms)
        expected += slowest.expected_ms
        unloaded += slowest.unloaded_ms
    return Estimate(expected, unloaded)


def _stage_estimate(context: RunContext, request: Request, stage: Stage, length: int) -> Estimate:
    allowed = context.follower.configuration.servers_for(stage, request.team)
    router = context.router
    local, remote = router.locality.split(allowed)
    sampled = _sample(context, local, LOCAL_SAMPLE_SIZE) + _sample(
        context, remote, REMOTE_SAMPLE_SIZE
    )
    now = context.clock.now()
    states = [router.state(server) for server in sampled]
    candidates = [
        router.candidate(state, stage, length, None, now)
        for state in states
        if state.usable(now, stage.model)
    ]
    best = min(candidates, key=lambda one: one.expected_ms, default=None)
    return Estimate(0.0, 0.0) if best is None else Estimate(best.expected_ms, best.unloaded_ms)


def _sample(
    context: RunContext, servers: tuple[BackendServer, ...], max_size: int
) -> list[BackendServer]:
    return list(servers) if len(servers) <= max_size else context.rng.sample(servers, max_size)
