# suspectkind.py -- What may be suspected of crashing servers
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""What may be suspected of crashing servers."""

from __future__ import annotations

from enum import Enum

MINUTE_MS = 60_000.0
HOUR_MS = 60.0 * MINUTE_MS
DAY_MS = 24.0 * HOUR_MS
# Requests to a model that was repaired run again; one that was not repaired loses three servers to
# trials in seven hours.
REQUEST_BARS_MS = (10.0 * MINUTE_MS, HOUR_MS, 6.0 * HOUR_MS, DAY_MS)
# Many requests may share a part, so that one which is barred by mistake costs more than a server
# that is lost to a trial.
PART_BARS_MS = (MINUTE_MS, *REQUEST_BARS_MS)


class SuspectKind(Enum):
    """What may be suspected of crashing servers.

    Attributes:
        noun: The name of the kind in log lines.
        common_cause_ms: Servers that crash this close together have one cause, such as a rack or a
            switch.
        bars_ms: How long a suspect is barred, the first time and each further time.
    """

    # Under a request that is responsible servers crash at times that depend on their queues, in the
    # observed cases 60 to 480 ms after it was sent.
    REQUEST = ("request", 50.0, REQUEST_BARS_MS)
    # Requests that fail together often have parts in common, and the servers of a service that are
    # lost together are not lost within 50 ms.
    PART = ("part", 250.0, PART_BARS_MS)

    def __init__(self, noun: str, common_cause_ms: float, bars_ms: tuple[float, ...]) -> None:
        self.noun = noun
        self.common_cause_ms = common_cause_ms
        self.bars_ms = bars_ms
