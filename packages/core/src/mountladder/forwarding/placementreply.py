# placementreply.py -- Reply to a placement order
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Reply to a placement order."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PlacementReply:
    """Reply to a placement order: the server for a prompt, or when to retry.

    Attributes:
        number: The number of the order.
        server: The name of the server, or an empty string if none was found.
        expected_ms: The expected time to the first event, in milliseconds.
        source: The address of the server to fetch cached prompt parts from, or an empty string.
        prefill_tokens: The number of prompt tokens that the server is expected to prefill.
        wait_ms: How long the request has to wait, in milliseconds, for a server that limits its
            request rate; without a server, the time to retry after, or 0 if unknown.
        backup: The name of the server to keep a copy of the request's cache, or an empty string.
        is_full: Whether no server was found because they have no room: they hold as many
            bytes as they may, or are fragile and have as many requests in progress as fit.
    """

    number: int
    server: str
    expected_ms: float
    source: str = ""
    prefill_tokens: int = 0
    wait_ms: float = 0.0
    backup: str = ""
    is_full: bool = False
