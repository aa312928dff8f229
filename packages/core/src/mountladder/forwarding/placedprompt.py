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
        prefill_tokens: The number of its tokens that the server has to prefill.
        expected_ms: The expected time to the first event, in milliseconds.
        queued_tokens: The number of tokens queued for prefill up to this prompt's end, or 0 if
            cached parts are fetched from another server.
        service: The service that it was placed for.
        urgency: The rank of its request; 0 is the most urgent.
        held_tokens: How many tokens of the server's memory it needs in addition to cached parts.
        placed_at: When it was placed, in the clock's milliseconds.
        size: The size of the request's body, in bytes.
    """

    server: str
    prefill_tokens: int
    expected_ms: float
    queued_tokens: int = 0
    service: str = ""
    urgency: int = 0
    held_tokens: int = 0
    placed_at: float = 0.0
    size: int = 0
