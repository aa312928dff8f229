# stageresult.py -- The whole result of a stage
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The whole result of a stage."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StageResult:
    """The whole result of a stage that is not streamed.

    Attributes:
        value: The result as JSON.
        load: How many calls the backend server reported to have, or None.
    """

    value: bytes
    load: int | None = None
