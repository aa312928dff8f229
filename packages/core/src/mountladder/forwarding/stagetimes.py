# stagetimes.py -- How long the stages of a request are expected to take
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""How long the stages of a request are expected to take."""

from __future__ import annotations

from mountladder.forwarding.forwardrequest import ForwardRequest
from mountladder.forwarding.route import Route
from mountladder.forwarding.stagedispatch import StageDispatch

# What a stage waits for a server, in parts of what a call takes before its first piece: calls end
# at any time, so that the next server is free after about half of one.
WAIT_CALLS = 0.5
# What a stage is taken to need whose service the catalogue does not have.
UNKNOWN_STAGE_MS = 300.0


class StageTimes:
    """How long the stages of one request take, by the figures of their services.

    Args:
        request: The request.
        route: Its route.
        dispatch: Knows what a server of each service takes at once.
    """

    def __init__(self, request: ForwardRequest, route: Route, dispatch: StageDispatch) -> None:
        self.request = request
        self.route = route
        self.dispatch = dispatch

    def has(self, number: int) -> bool:
        """Tell whether the request has pieces of a stage."""
        return number < len(self.request.pieces) and self.request.pieces[number] > 0

    def ms_after(self, number: int) -> float:
        """Return about how long the stages take that follow one another behind a stage."""
        following = [n for n, stage in enumerate(self.route.stages) if number in stage.after]
        return max((self.stage_ms(n) + self.ms_after(n) for n in following), default=0.0)

    def stage_ms(self, number: int) -> float:
        """Return about how long a stage takes, its wait for a server included."""
        if not self.has(number):
            return 0.0
        limits = self.dispatch.limits(self.route.stages[number].service)
        if limits is None:
            return UNKNOWN_STAGE_MS
        pieces = min(self.request.pieces[number], limits.pieces)
        return WAIT_CALLS * limits.call_ms + limits.expected_ms(pieces)
