# hold.py -- How long one request is held before a server is sent it
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""How long one request is held before a server is sent it.

The load it handles: requests that fully loaded services hold until their callers leave.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from mountladder.admission.patience import OUTCOME_MARGIN_MS, RESPONSE_MARGIN_MS
from mountladder.errors import MountladderError, RefusalError
from mountladder.forwarding.routekind import RouteKind
from mountladder.metrics.metric import Metric

if TYPE_CHECKING:
    from mountladder.forwarding.forwardrun import ForwardRun


class Hold:
    """Limits how long a stream is held, so that its caller is answered before it leaves.

    Args:
        run: The execution of the request.

    Attributes:
        is_over: Whether the first event has arrived, after which callers wait until their deadline.
    """

    def __init__(self, run: ForwardRun) -> None:
        self.run = run
        self.is_over = False

    def patience_ms(self) -> float:
        """Return how long the caller waits for the first event, infinite if that does not count."""
        if self.is_over or self.run.route.kind is not RouteKind.STREAM:
            return math.inf
        return self.run.context.forecast.patience_ms(self.run.route)

    def deadline(self) -> float:
        """Return by when it must have been sent to a server, in the clock's milliseconds."""
        patience_end = self.run.request.arrived + self.patience_ms() - RESPONSE_MARGIN_MS
        return min(self.run.deadline, patience_end)

    def stages_end(self) -> float:
        """Return when its stages end, in the clock's milliseconds; infinite for its deadline.

        They end before the request does, so that it learns whether any piece was begun.
        """
        if math.isinf(self.patience_ms()):
            return math.inf
        return self.deadline() - OUTCOME_MARGIN_MS

    def remaining_ms(self) -> float:
        """Return the time until it must have been sent to a server, in milliseconds."""
        return self.deadline() - self.run.context.clock.now()

    def record_end(self, error: MountladderError) -> None:
        """Log and count a request that ended because its caller was about to leave."""
        run = self.run
        stages_end = self.stages_end()
        if run.context.clock.now() < stages_end:
            return
        run.context.metrics.count(Metric.HELD_TOO_LONG)
        run.log(
            "held-too-long",
            held_ms=round(run.elapsed_ms()),
            patience_ms=round(self.patience_ms()),
            allowed_ms=round(run.request.allowed_ms),
            expected_ms=round(run.expected_ms),
            outcome="refused" if isinstance(error, RefusalError) else "failed",
        )
