# workloads.py -- The workloads of the experiments
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The workloads of the experiments."""

from __future__ import annotations

import dataclasses

from mountladder_standins.trafficclass import TrafficClass
from mountladder_standins.workload import Workload

HARROWGATE = (
    TrafficClass("short", "front-desk", 0.45, 200, 6),
    TrafficClass("short", "night-clerks", 0.30, 200, 6),
    TrafficClass("short", "owners", 0.10, 400, 8),
    TrafficClass("long", "contracts", 0.15, 12_000, 16),
)
BRINDLECOTE = (
    TrafficClass("short", "primary", 0.35, 150, 4),
    TrafficClass("short", "secondary", 0.40, 150, 4),
    TrafficClass("short", "tutors", 0.10, 300, 6),
    TrafficClass("long", "marking", 0.15, 16_000, 20),
)
_HARROWGATE = Workload("harrowgate", HARROWGATE, 10)
_BRINDLECOTE = Workload("brindlecote", BRINDLECOTE, 6)


def _variant(base: Workload, suffix: str, **changes: object) -> Workload:
    return dataclasses.replace(base, name=f"{base.name} {suffix}", **changes)


ALL = (
    _variant(_HARROWGATE, "steady"),
    _variant(_HARROWGATE, "burst 1.5", burst_load=1.5),
    _variant(_HARROWGATE, "burst 3", burst_load=3.0),
    _variant(_HARROWGATE, "one slowed", slowed_generators=1),
    _variant(_HARROWGATE, "servers lost", lost_generators=3),
    _variant(_HARROWGATE, "flooding team", flooding_team="owners"),
    _variant(_BRINDLECOTE, "steady"),
    _variant(_BRINDLECOTE, "burst 1.5", burst_load=1.5),
    _variant(_BRINDLECOTE, "burst 3", burst_load=3.0),
    _variant(_BRINDLECOTE, "flooding team", flooding_team="tutors"),
)
