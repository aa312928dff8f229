# trafficclass.py -- A class of requests in a workload
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A class of requests in a workload."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TrafficClass:
    """A class of similar requests.

    Attributes:
        pipeline: The pipeline that the requests name.
        team: The team that sends them.
        share: Their fraction of all requests.
        input_bytes: The length of each input.
        tokens: How many tokens each request generates.
    """

    pipeline: str
    team: str
    share: float
    input_bytes: int
    tokens: int
