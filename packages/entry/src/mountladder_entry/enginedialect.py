# enginedialect.py -- How model engines are spoken to
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""How model engines are spoken to."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EngineDialect:
    """A model engine: one path for each kind of work, answers carry the attempt's id."""
