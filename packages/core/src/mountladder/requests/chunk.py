# chunk.py -- Consecutive tokens of a stream
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Consecutive tokens of a stream."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Chunk:
    """Consecutive tokens of a stream, as server-sent events for callers.

    Attributes:
        first: The number of the first token in it, counting from 1.
        count: The number of tokens.
        events: The events, each with the token's number as its id.
        load: The number of running calls that the backend server reported, or None.
    """

    first: int
    count: int
    events: bytes
    load: int | None = None
