# patience.py -- How long callers wait for the first event of a stream
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""How long callers wait for the first event of a stream.

The load it handles: requests that are held in an overload until their callers leave.
"""

from __future__ import annotations

from mountladder.forwarding.route import Route
from mountladder.forwarding.routekind import RouteKind

# Callers abandon a stream that has sent no first event after the longest of this time in
# milliseconds, and these multiples of its route's latency target and longest pause.
MIN_PATIENCE_MS = 2_000.0
PATIENCE_TARGETS = 4.0
PATIENCE_GAPS = 8.0
# Callers count from when they send a request, before it is received and read here, and a response
# has to reach them: a connection, two transfers and the work of a busy instance.
RESPONSE_MARGIN_MS = 100.0
# How long before that the coordinators of stage services end the stages, so that the instance that
# holds the request still learns whether any piece of it was begun. They poll their queues every
# 40 ms, and a message takes a few milliseconds.
OUTCOME_MARGIN_MS = 100.0


def patience_ms(route: Route) -> float:
    """Return how long callers wait, from the start of each attempt, in milliseconds.

    That is until the first event of a stream; callers of other routes wait until their deadline.
    """
    if route.kind is not RouteKind.STREAM:
        return route.timeout_ms
    return max(MIN_PATIENCE_MS, PATIENCE_TARGETS * route.target_ms, PATIENCE_GAPS * route.gap_ms)
