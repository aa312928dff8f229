# stagerelease.py -- Message that releases results of a stage
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Message that releases results of a stage."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StageRelease:
    """Releases results of a stage that are no longer needed.

    Attributes:
        service: The service that made them.
        handles: The handles of the results.
        fetched: Whether the results are not needed any more only because servers have fetched them,
            so that they may be kept while memory is left.
    """

    service: str
    handles: tuple[str, ...]
    fetched: bool = False
