# randomchoice.py -- Routing policy: uniform random choice
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Routing policy: uniform random choice."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RandomChoice:
    """Chooses any candidate with equal probability."""
