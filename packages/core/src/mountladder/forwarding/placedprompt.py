# placedprompt.py -- A prompt that was placed on a model server
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A prompt that was placed on a model server."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PlacedPrompt:
    """A prompt that was placed on a model server, as recorded by its placement coordinator.

    Attributes:
        server: The name of the server.
        read: The number of its tokens that the server has to prefill.
        expected_ms: The expected time to the first event, in milliseconds.
        tokens: The number of tokens queued for prefill up to this prompt's end, or 0 if cached
            parts are fetched from another server.
    """

    server: str
    read: int
    expected_ms: float
    tokens: int = 0
