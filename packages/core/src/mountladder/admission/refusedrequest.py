# refusedrequest.py -- When a refused request could be answered after a retry
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""When a refused request could be answered after a retry."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass

from mountladder.admission.attemptkind import MIN_RETURN_MS

# Callers wait at most a third of the time they have left before they retry. The rest of the third
# is for the way of the refusal to the caller.
MAX_RETURN_FRACTION = 0.3


@dataclass(frozen=True, slots=True)
class RefusedRequest:
    """What decides when a refused request could be answered after a retry.

    Handles callers that return while the backlog would have them refused again. The wait of a
    retry is the present one less the time until it returns: what waits now is served meanwhile.

    Attributes:
        rank: The rank of the request; 0 is the most urgent.
        pieces: Its pieces at each service that delays it.
        waiting_ms: How long its stages would wait now among those that return.
        processing_ms: Its expected time without waits, uncorrected by the factor.
        usual_ms: The usual time of a request of its route without waits.
        factor: The ratio of actual to expected time on its route.
        limit_ms: The expected time of a usual request of its route beyond which one that gives way
            is refused.
        patience_ms: How long its caller waits for the answer to one attempt.
        allowed_ms: How long its caller waits for the answer to all attempts, from now on.
    """

    rank: int
    pieces: Mapping[str, int]
    waiting_ms: float
    processing_ms: float
    usual_ms: float
    factor: float
    limit_ms: float
    patience_ms: float
    allowed_ms: float

    def earliest_ms(self) -> float:
        """Return the time after which a retry would be admitted in ms; infinite if there is none.

        It is MIN_RETURN_MS or more.
        """
        # The longest wait with which a retry is answered in time.
        wait_ms = min(
            self.limit_ms / self.factor - self.usual_ms,
            self.patience_ms / self.factor - self.processing_ms,
        )
        if wait_ms < 0:
            return math.inf
        after_ms = max(MIN_RETURN_MS, self.waiting_ms - wait_ms)
        if self.is_before_deadline(after_ms):
            return after_ms
        # Up to its end, the wait costs the answer more time than a later return does.
        if self.factor > 1.0 and self.waiting_ms > after_ms:
            late_ms = self.factor * (self.processing_ms + self.waiting_ms) - self.allowed_ms
            after_ms = late_ms / (self.factor - 1.0)
            if after_ms <= self.waiting_ms:
                return after_ms
        return math.inf

    def is_before_deadline(self, after_ms: float) -> bool:
        """Return whether the answer to a retry after some time is expected by the deadline."""
        wait_ms = max(0.0, self.waiting_ms - after_ms)
        answer_ms = self.factor * (self.processing_ms + wait_ms)
        return after_ms + answer_ms <= self.allowed_ms

    def latest_ms(self) -> float:
        """Return the time after which its caller does not wait any more, in milliseconds."""
        return MAX_RETURN_FRACTION * self.allowed_ms
