# forwardrequest.py -- A caller's request that is forwarded as a whole
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A caller's request that is forwarded as a whole."""

from __future__ import annotations

from dataclasses import dataclass, field

from mountladder.forwarding.prompt import Prompt
from mountladder.memory.holder import Holder

Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class ForwardRequest:
    """A request as it was received from a caller.

    Attributes:
        id: The id that the caller gave the request.
        method: The HTTP method.
        host: The host from its Host header.
        target: The path with the query string, unchanged.
        path: The path without the query string.
        headers: The headers to forward.
        body: The complete body.
        key: The API key, or an empty string.
        arrived: When it was received, in the clock's milliseconds.
        allowed_ms: How long the caller waits after that, in milliseconds.
        prompt: Its prompt, or None if it has none.
        pieces: The number of pieces of each stage.
        piece_key: Identifies the input of the first stages.
        last_event_id: The id of the last event received of a stream to resume, or "".
        resumes: The id of the request that brought the first event of that stream, or "".
        holder: Counts the bytes held for the request, or None.
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
    last_event_id: str = ""
    resumes: str = ""
    holder: Holder | None = field(default=None, compare=False, repr=False)

    def deadline(self, timeout_ms: float) -> float:
        """Return when the caller's timeout or another one expires, in the clock's milliseconds."""
        return self.arrived + min(self.allowed_ms, timeout_ms)
