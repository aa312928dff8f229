# heartbeat.py -- A sign of life between peers
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A sign of life between peers."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """A sign of life.

    Attributes:
        revision: The configuration revision in force at the sender.
        age_ms: How long ago that was known to be the newest one, in milliseconds.
        leaving: Whether the sender is shutting down.
        leaving_servers: Backend servers that told the sender itself that they are leaving.
    """

    revision: int
    age_ms: int
    leaving: bool = False
    leaving_servers: tuple[str, ...] = ()
