# enginedialect.py -- The protocol of model engines
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The protocol of model engines."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EngineDialect:
    """Model engines: one path for each kind of work; answers carry the attempt's id."""
