# roundrobin.py -- Routing policy: round robin
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Routing policy: round robin."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RoundRobin:
    """Chooses the candidates in turn."""
