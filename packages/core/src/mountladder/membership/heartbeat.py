# heartbeat.py -- Heartbeat between instances, with the sender's configuration revision
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Heartbeat between instances, with the sender's configuration revision."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Heartbeat between instances, with the sender's configuration revision.

    Attributes:
        revision: The configuration revision in force at the sender.
        age_ms: The time since that was last confirmed as the newest one, in milliseconds.
        leaving: Whether the sender is shutting down.
        leaving_servers: Names of backend servers that announced to the sender that they are
            leaving.
    """

    revision: int
    age_ms: int
    leaving: bool = False
    leaving_servers: tuple[str, ...] = ()
