# violation.py -- A broken promise
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A broken promise."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Violation:
    """A broken promise that a fault run found.

    Attributes:
        promise: The name of the promise.
        detail: What broke it.
    """

    promise: str
    detail: str
