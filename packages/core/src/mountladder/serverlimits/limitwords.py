# limitwords.py -- Telling what servers said of their limits
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Telling what servers said of their limits."""

from __future__ import annotations

from dataclasses import dataclass

from mountladder.serverlimits.limitword import LimitWord


@dataclass(frozen=True, slots=True)
class LimitWords:
    """Telling what servers said of their limits.

    Attributes:
        entries: What they said, with times before now, so below zero.
    """

    entries: tuple[LimitWord, ...]
