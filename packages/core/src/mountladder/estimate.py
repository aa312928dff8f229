# estimate.py -- The expected time of a whole request
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The expected time of a whole request."""

from __future__ import annotations

from mountladder.candidate import Candidate
from mountladder.request import Request
from mountladder.runcontext import RunContext
from mountladder.stage import Stage
from mountladder.stageplan import levels

LOOKED_AT = 8


def estimate_ms(context: RunContext, request: Request) -> float:
    """Return the expected time of a request under the present load, in milliseconds.

    The stages of one group run side by side, so the slowest counts; groups follow each other. A
    stage without any usable server counts as nothing, since its error tells more.
    """
    length = len(request.input)
    return sum(
        max(_stage_ms(context, request, stage, length) for stage in group)
        for group in levels(request.pipeline.stages)
    )


def _stage_ms(context: RunContext, request: Request, stage: Stage, length: int) -> float:
    allowed = context.follower.configuration.servers_for(stage, request.team)
    router = context.router
    now = context.clock.now()
    looked_at = allowed
    if len(allowed) > LOOKED_AT:
        looked_at = context.rng.sample(allowed, LOOKED_AT)
    states = [router.state(server) for server in looked_at]
    known = [
        Candidate.at(state, context.costs.expected(stage, state.server.accelerator, length), now)
        for state in states
        if state.usable(now)
    ]
    return min((one.expected_ms for one in known), default=0.0)
