# picked.py -- A server that was picked for a request
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A server that was picked for a request."""

from __future__ import annotations

from dataclasses import dataclass

from mountladder.routing.choice import Choice


@dataclass(frozen=True, slots=True)
class Picked:
    """A server that was picked for a request.

    Attributes:
        choice: The server, and why it was chosen.
        placement: What stands for the prompt where prompts are placed, or 0 without one.
        source: The address of the server to fetch kept parts of the prompt from, or empty.
        read: How many tokens the server is believed to read.
        ready_at: When its turn comes at a server that limits what it takes.
    """

    choice: Choice
    placement: int = 0
    source: str = ""
    read: int = 0
    ready_at: float = 0.0
