# routestage.py -- One stage of a route, as configured
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""One stage of a route, as configured."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RouteStage:
    """One stage of a route: work that is done in pieces before the request itself is sent.

    Attributes:
        service: The service whose backend servers run it.
        after: The numbers of the stages it depends on.
        result_bytes: The approximate size of the result of one piece.
    """

    service: str
    after: tuple[int, ...]
    result_bytes: float
