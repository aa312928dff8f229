# keystate.py -- What became of an idempotency key
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""What became of an idempotency key."""

from __future__ import annotations

from enum import Enum


class KeyState(Enum):
    """What became of the request that holds a key."""

    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    UNKNOWN = "unknown"
