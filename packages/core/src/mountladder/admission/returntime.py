# returntime.py -- When a refused caller is to return, and what decided it
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""When a refused caller is to return, and what decided it."""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ReturnTime:
    """When a refused caller is to return, and what decided it.

    Attributes:
        after_ms: The time to wait before the retry, in milliseconds.
        in_time: Whether a retry at that time can be answered; else the request is hopeless.
        earliest_ms: The time after which a retry would be admitted if no other caller returned;
            infinite if there is none.
        turn_ms: The time after which the service can serve one more retry from this instance.
        latest_ms: The time after which its caller does not wait any more.
    """

    after_ms: float
    in_time: bool
    earliest_ms: float
    turn_ms: float
    latest_ms: float

    def log_fields(self) -> dict[str, float | bool | None]:
        """Return its fields for log lines."""
        return {
            "retry_after_ms": round(self.after_ms),
            "in_time": self.in_time,
            "earliest_ms": None if math.isinf(self.earliest_ms) else round(self.earliest_ms),
            "turn_ms": round(self.turn_ms),
            "latest_ms": round(self.latest_ms),
        }
