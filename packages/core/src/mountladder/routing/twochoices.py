# twochoices.py -- Routing policy: power of two random choices
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Routing policy: power of two random choices."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TwoChoices:
    """Samples two candidates and chooses the one with fewer calls of this instance in flight."""
