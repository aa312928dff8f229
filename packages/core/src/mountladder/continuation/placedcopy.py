# placedcopy.py -- A copy that a server keeps of a placed prompt's run
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A copy that a server keeps of a placed prompt's run."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PlacedCopy:
    """A copy of the cache of a prompt's run, as recorded by the placement coordinator.

    Attributes:
        server: The name of the server that keeps it.
        tokens: The number of tokens that it has at most.
        handle_ms: How long the server keeps it after its last part if the run does not end
            successfully, in milliseconds.
    """

    server: str
    tokens: int
    handle_ms: float
