# routekind.py -- What a route's requests may be repeated as
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""What a route's requests may be repeated as."""

from __future__ import annotations

from enum import Enum


class RouteKind(Enum):
    """How the requests of a route behave.

    SAFE requests are idempotent, UNSAFE ones run at most once, and STREAM ones are answered event
    by event and run at most once unless their route lets them be resumed.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"
