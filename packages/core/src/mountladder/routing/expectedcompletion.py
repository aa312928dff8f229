# expectedcompletion.py -- The policy of expected completion
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The policy of expected completion."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ExpectedCompletion:
    """Choose by the expected time to completion, and by cost where time allows.

    Attributes:
        drawn: How many candidates are drawn and compared.
        thrift: From 0 to 1, the part of the time available that may be used up to save cost. At 0
            the fastest candidate is chosen; at 1 the cheapest that is expected to be in time.
    """

    drawn: int = 8
    thrift: float = 0.0
