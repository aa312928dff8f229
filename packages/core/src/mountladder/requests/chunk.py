# chunk.py -- A piece of a stream
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A piece of a stream."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Chunk:
    """Some tokens of a stream, as server-sent events that callers can read.

    Attributes:
        first: The number of the first token in it, counting from 1.
        count: How many tokens it holds.
        events: The events, each with the token's number as its id.
        load: How many calls the backend server reported to have, or None.
    """

    first: int
    count: int
    events: bytes
    load: int | None = None
