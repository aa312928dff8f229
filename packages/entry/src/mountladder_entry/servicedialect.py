# servicedialect.py -- The protocol of plain services
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The protocol of plain services."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ServiceDialect:
    """Plain services: one path for each stage; answers may lack the attempt's id."""
