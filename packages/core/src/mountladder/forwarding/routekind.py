# routekind.py -- Retry and streaming behaviour of a route's requests
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Retry and streaming behaviour of a route's requests."""

from __future__ import annotations

from enum import Enum


class RouteKind(Enum):
    """Retry and streaming behaviour of a route's requests.

    SAFE requests are idempotent. UNSAFE requests are executed at most once. STREAM requests are
    answered with an event stream, and executed at most once unless their route is resumable.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"
