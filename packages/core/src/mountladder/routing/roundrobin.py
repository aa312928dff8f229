# roundrobin.py -- The policy that takes turns
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The policy that takes turns."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RoundRobin:
    """Choose the candidates in turn."""
