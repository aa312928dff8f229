# stagetimes.py -- Estimates how long the stages of a request take
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Estimates how long the stages of a request take."""

from __future__ import annotations

from mountladder.forwarding.forwardrequest import ForwardRequest
from mountladder.forwarding.route import Route
from mountladder.forwarding.stagedispatch import StageDispatch

# Expected wait of a stage for a free server, as a fraction of a call's fixed time: calls end at
# random times, so that a server is free after about half of one.
WAIT_FRACTION = 0.5
# Expected time of a stage whose service the catalogue lacks.
UNKNOWN_STAGE_MS = 300.0


class StageTimes:
    """Estimates the times of one request's stages from the batch limits of their services.

    Args:
        request: The request.
        route: Its route.
        dispatch: Returns the batch limits of each service.
    """

    def __init__(self, request: ForwardRequest, route: Route, dispatch: StageDispatch) -> None:
        self.request = request
        self.route = route
        self.dispatch = dispatch

    def has_pieces(self, number: int) -> bool:
        """Return whether the request has pieces in a stage."""
        return number < len(self.request.pieces) and self.request.pieces[number] > 0

    def following_ms(self, number: int) -> float:
        """Return the approximate time of the longest chain of later stages, in milliseconds."""
        following = [n for n, stage in enumerate(self.route.stages) if number in stage.after]
        return max((self.stage_ms(n) + self.following_ms(n) for n in following), default=0.0)

    def stage_ms(self, number: int) -> float:
        """Return the approximate time of a stage and its wait for a server, in milliseconds."""
        if not self.has_pieces(number):
            return 0.0
        limits = self.dispatch.limits(self.route.stages[number].service)
        if limits is None:
            return UNKNOWN_STAGE_MS
        pieces = min(self.request.pieces[number], limits.pieces)
        return WAIT_FRACTION * limits.call_ms + limits.expected_ms(pieces)
