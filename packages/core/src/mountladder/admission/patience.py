# patience.py -- How long the caller of a request waits for an answer
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""How long the caller of a request waits for an answer."""

from __future__ import annotations

from mountladder.forwarding.route import Route
from mountladder.forwarding.routekind import RouteKind

# Callers abandon a stream that has sent no first event after the longest of these: a time in
# milliseconds, a multiple of the route's latency target, and one of its longest pause.
MIN_PATIENCE_MS = 2_000.0
PATIENCE_TARGETS = 4.0
PATIENCE_GAPS = 8.0


def patience_ms(route: Route) -> float:
    """Return how long callers of a route wait, from the start of an attempt, in milliseconds.

    Handles callers that are held until they leave.
    """
    if route.kind is not RouteKind.STREAM:
        return route.timeout_ms
    return max(MIN_PATIENCE_MS, PATIENCE_TARGETS * route.target_ms, PATIENCE_GAPS * route.gap_ms)
