# placementreply.py -- Where a prompt is to go
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Where a prompt is to go."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PlacementReply:
    """Where a prompt is to go.

    Attributes:
        number: The number of the order.
        server: The name of the server, or an empty string where there is none.
        expected_ms: The expected time to the first event there.
        source: The address of the server that it fetches kept parts of the prompt from, or empty.
        read: How many tokens it is believed to read.
        wait_ms: How long it has to wait for its turn at a server that limits what it takes; without
            a server, when it is to come back, or 0 where that is not known.
    """

    number: int
    server: str
    expected_ms: float
    source: str = ""
    read: int = 0
    wait_ms: float = 0.0
