# violation.py -- A violated invariant
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A violated invariant."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Violation:
    """An invariant that a fault run found violated.

    Attributes:
        invariant: The name of the invariant.
        detail: What violated it.
    """

    invariant: str
    detail: str
