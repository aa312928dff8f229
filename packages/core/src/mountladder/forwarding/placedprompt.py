# placedprompt.py -- A prompt at a model server
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A prompt at a model server."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PlacedPrompt:
    """A prompt at a model server, as the instance that placed it remembers it.

    Attributes:
        server: The name of the server.
        read: How many of its tokens the server reads.
        expected_ms: The expected time to the first event.
        tokens: How many tokens the server was to read until then, or 0 where it fetched some.
    """

    server: str
    read: int
    expected_ms: float
    tokens: int = 0
