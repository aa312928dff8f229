# servicedialect.py -- How plain services are spoken to
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""How plain services are spoken to."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ServiceDialect:
    """A plain service: one path for each stage; it need not know of attempts."""
