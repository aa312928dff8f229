# placedprompt.py -- A prompt at a model server
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A prompt at a model server."""

from __future__ import annotations

from dataclasses import dataclass

from mountladder.forwarding.prompt import Prompt


@dataclass(frozen=True, slots=True)
class PlacedPrompt:
    """A prompt at a model server, as the instance that placed it remembers it.

    Attributes:
        server: The name of the server.
        prompt: The prompt.
        expected_ms: The expected time to the first event.
    """

    server: str
    prompt: Prompt
    expected_ms: float
