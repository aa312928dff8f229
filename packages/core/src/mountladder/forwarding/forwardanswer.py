# forwardanswer.py -- The answer to a forwarded request
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The answer to a forwarded request."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from mountladder.forwarding.forwardrequest import Headers


@dataclass(frozen=True, slots=True)
class ForwardAnswer:
    """The answer to a forwarded request.

    Attributes:
        status: The HTTP status of the backend server.
        headers: Its headers, without hop-by-hop headers, and with a length only if there is no body
            that has it: in answers to HEAD and with status 304.
        body: The complete body, or an iterator over the chunks of a stream. The iterator raises if
            the stream breaks, so that a truncated answer is never taken for a complete one.
        ends_with_connection: Whether the backend server gave neither a length nor chunks, so that
            the caller is given none either: they would claim that the body is known to be whole.
    """

    status: int
    headers: Headers
    body: bytes | Iterator[bytes]
    ends_with_connection: bool = False
