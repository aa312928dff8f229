# expectedcompletion.py -- Routing policy: least expected completion time
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Routing policy: least expected completion time."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ExpectedCompletion:
    """Chooses by expected completion time, and by cost where the time budget allows.

    Attributes:
        drawn: The number of candidates that are sampled and compared.
        thrift: The fraction of the time budget, from 0 to 1, that may be spent to save cost. At 0
            the fastest candidate is chosen; at 1 the cheapest that is expected to be in time.
    """

    drawn: int = 8
    thrift: float = 0.0
