# reply.py -- What a request is answered with
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""What a request is answered with."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from mountladder.claims.issuedkey import IssuedKey
from mountladder.requests.chunk import Chunk
from mountladder.requests.request import Request


@dataclass(frozen=True, slots=True)
class Reply:
    """What a request is answered with: a kept answer, another instance's, or a run of its own.

    Attributes:
        request: The request.
        kept: A kept answer as JSON, or None.
        home: The issued key whose home must be asked, or None.
        chunks: The tokens of the run, where it is one; the answer is whole once it ends.
        answer: Returns the whole answer as JSON once the chunks have ended.
    """

    request: Request
    kept: bytes | None = None
    home: IssuedKey | None = None
    chunks: Iterator[Chunk] | None = None
    answer: Callable[[], bytes] | None = None
