# forwardrequest.py -- A caller's request that is forwarded whole
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A caller's request that is forwarded whole."""

from __future__ import annotations

from dataclasses import dataclass

from mountladder.forwarding.prompt import Prompt

Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class ForwardRequest:
    """One attempt of a caller, as it was received.

    Attributes:
        id: The caller's id of this attempt.
        method: The HTTP method.
        host: The host it names.
        target: The path with the query, unchanged.
        path: The path alone.
        headers: The headers that are passed on.
        body: The body, whole.
        key: The API key, or an empty string.
        arrived: When it was received, in the clock's milliseconds.
        allowed_ms: How long the caller waits from then on.
        prompt: Its prompt where it is for a model.
        pieces: How many pieces each stage has.
        piece_key: What the first stages work on.
        after_event: The last event that the caller has of a stream to go on with, or "".
    """

    id: str
    method: str
    host: str
    target: str
    path: str
    headers: Headers
    body: bytes
    key: str
    arrived: float
    allowed_ms: float
    prompt: Prompt | None = None
    pieces: tuple[int, ...] = ()
    piece_key: str = ""
    after_event: str = ""
