# demandreport.py -- Message that tells other data centres how much a service is asked for
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Message that tells other data centres how much a service is asked for."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DemandReport:
    """Tells the coordinators of a divided service what one data centre asks for and can serve.

    Attributes:
        service: The service.
        asked_per_s: How many pieces per second the callers of the sender's data centre ask for.
        trend_per_s: By how much that rate rises in a second; negative if it falls.
        capacity_per_s: How many pieces per second the servers there can produce.
    """

    service: str
    asked_per_s: float
    trend_per_s: float
    capacity_per_s: float
