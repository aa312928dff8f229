# serverloss.py -- Tells a server that is lost from one that is silent
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Tells a server that is lost from one that is silent."""

from __future__ import annotations

from mountladder.configuration.backendserver import BackendServer
from mountladder.forwarding.upstream import Upstream

# A sound server may neither send nor accept connections for a second or so and then go on. Only one
# that is silent for longer, and cannot be reached then, is taken to be lost.
LOST_MS = 2_500.0


def is_lost(upstream: Upstream, server: BackendServer, silent_ms: float) -> bool:
    """Return whether a server that has been silent for a time is lost."""
    return silent_ms >= LOST_MS and not upstream.reaches(server)
