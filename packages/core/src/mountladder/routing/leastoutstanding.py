# leastoutstanding.py -- The policy of least outstanding calls
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The policy of least outstanding calls."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LeastOutstanding:
    """Choose the candidate with the fewest calls of this instance in flight."""
