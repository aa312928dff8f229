# leaving.py -- That a backend server leaves
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""That a backend server leaves."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Leaving:
    """That a backend server leaves: it is to get no new work, up to its end."""
