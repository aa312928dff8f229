# measured.py -- What an experiment measured
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""What an experiment measured."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Measured:
    """What one experiment measured.

    Attributes:
        sent: How many requests were sent.
        attainment: The share that got their whole answer within the deadline.
        bound: An upper bound of it, computed with full knowledge.
        others: The attainment of the teams that do not flood.
        cost: The cost of all work for each whole answer in time.
        wasted: The share of the generators' time spent on answers that were late or never whole.
        useful: The generators' time spent on answers in time, as a share of their time while
            there was more to do than they could.
        recovery_ms: How long after the burst attainment stayed under its normal value.
    """

    sent: int
    attainment: float
    bound: float
    others: float
    cost: float
    wasted: float
    useful: float
    recovery_ms: float
