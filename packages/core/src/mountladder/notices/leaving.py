# leaving.py -- Notice that a backend server is leaving
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Notice that a backend server is leaving."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Leaving:
    """Notice that a backend server is leaving: it must get no new work until it exits."""
