# experimentresult.py -- The measurements of an experiment
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The measurements of an experiment."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ExperimentResult:
    """The measurements of one experiment.

    Attributes:
        sent: How many requests were sent.
        attainment: The fraction of requests answered completely within the deadline.
        bound: An upper bound of the attainment under any policy; see attainment_bound.
        others_attainment: The attainment of the teams that do not flood.
        cost: The cost of all work over the number of complete answers in time.
        wasted_fraction: The fraction of the generators' time spent on late or incomplete answers.
        useful_fraction: The work of answers in time during the burst, as a fraction of the
            generators' capacity; 1 if the burst does not exceed the capacity.
        recovery_ms: How long after the burst attainment stayed below its normal value.
    """

    sent: int
    attainment: float
    bound: float
    others_attainment: float
    cost: float
    wasted_fraction: float
    useful_fraction: float
    recovery_ms: float
