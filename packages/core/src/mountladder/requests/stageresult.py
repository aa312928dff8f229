# stageresult.py -- The complete result of a stage that is not streamed
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The complete result of a stage that is not streamed."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StageResult:
    """The complete result of a stage that is not streamed.

    Attributes:
        value: The result as JSON.
        load: The number of running calls that the backend server reported, or None.
    """

    value: bytes
    load: int | None = None
