# stagerelease.py -- Results of a stage that are no longer needed
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Results of a stage that are no longer needed."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StageRelease:
    """Results of a stage that are no longer needed.

    Attributes:
        service: The service that made them.
        handles: Where they lie.
    """

    service: str
    handles: tuple[str, ...]
