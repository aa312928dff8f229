# resultclass.py -- What a caller may conclude from a result
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""What a caller may conclude from a result."""

from __future__ import annotations

from enum import Enum


class ResultClass(Enum):
    """The classes of result that callers can rely on."""

    DONE = "done"
    NOT_RUN = "not_run"
    FAILED = "failed"
    UNKNOWN = "unknown"
