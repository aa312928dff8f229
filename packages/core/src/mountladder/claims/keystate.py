# keystate.py -- The state of the request of an idempotency key
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The state of the request of an idempotency key."""

from __future__ import annotations

from enum import Enum


class KeyState(Enum):
    """The state of the request that holds a key."""

    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    UNKNOWN = "unknown"
