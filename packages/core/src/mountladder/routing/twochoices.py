# twochoices.py -- The policy of two random choices
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The policy of two random choices."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TwoChoices:
    """Draw two candidates and choose the one with fewer calls of this instance in flight."""
