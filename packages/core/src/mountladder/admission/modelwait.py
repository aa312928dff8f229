# modelwait.py -- Expected wait for a model server, and how old the information is
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Expected wait for a model server, and how old the information is."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ModelWait:
    """Expected wait for a model server, and how old the information is.

    Attributes:
        ms: The wait in milliseconds, 0 if nothing is known.
        age_ms: The age of the report in milliseconds, or None if nothing is known.
    """

    ms: float = 0.0
    age_ms: float | None = None


UNKNOWN_WAIT = ModelWait()
