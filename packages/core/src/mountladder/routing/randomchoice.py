# randomchoice.py -- The policy that chooses at random
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The policy that chooses at random."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RandomChoice:
    """Choose any candidate with equal chance."""
