# serverusage.py -- Memory that results take up at one stage server
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Memory that results take up at one stage server."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ServerUsage:
    """Memory that results take up at one stage server.

    Attributes:
        server: The server's name.
        used_bytes: The memory in use, in bytes.
        lapse_ms: The time until the last of these results has lapsed, in milliseconds.
    """

    server: str
    used_bytes: float
    lapse_ms: float
