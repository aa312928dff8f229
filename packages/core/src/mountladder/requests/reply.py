# reply.py -- Reply to a request: a stored answer, the issuer of its key, or a run
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Reply to a request: a stored answer, the issuer of its key, or a run."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from mountladder.claims.issuedkey import IssuedKey
from mountladder.requests.chunk import Chunk
from mountladder.requests.request import Request


@dataclass(frozen=True, slots=True)
class Reply:
    """Reply to a request: a stored answer, the instance that issued its key, or a run.

    Attributes:
        request: The request.
        stored_answer: A stored answer as JSON, or None.
        issued_key: The issued key whose issuing instance must be asked, or None.
        chunks: The tokens of the run, or None; the run is complete once they are exhausted.
        answer: Returns the complete answer as JSON once the chunks are exhausted.
    """

    request: Request
    stored_answer: bytes | None = None
    issued_key: IssuedKey | None = None
    chunks: Iterator[Chunk] | None = None
    answer: Callable[[], bytes] | None = None
