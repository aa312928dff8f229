# trafficclass.py -- One kind of request in a workload
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""One kind of request in a workload."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TrafficClass:
    """One kind of request.

    Attributes:
        pipeline: The pipeline.
        team: The team that sends it.
        share: Its share of the requests.
        input_bytes: The length of its input.
        tokens: How many tokens it generates.
    """

    pipeline: str
    team: str
    share: float
    input_bytes: int
    tokens: int
