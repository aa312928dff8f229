# leastoutstanding.py -- Routing policy: fewest outstanding calls
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Routing policy: fewest outstanding calls."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LeastOutstanding:
    """Chooses the candidate with the fewest calls of this instance in flight."""
