# resultclass.py -- Classes of results that callers can rely on
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Classes of results that callers can rely on."""

from __future__ import annotations

from enum import Enum


class ResultClass(Enum):
    """What a caller may conclude from a result."""

    DONE = "done"
    NOT_RUN = "not_run"
    FAILED = "failed"
    UNKNOWN = "unknown"
