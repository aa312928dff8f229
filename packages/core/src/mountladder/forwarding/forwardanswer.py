# forwardanswer.py -- What a forwarded request is answered with
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""What a forwarded request is answered with."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from mountladder.forwarding.forwardrequest import Headers


@dataclass(frozen=True, slots=True)
class ForwardAnswer:
    """What a forwarded request is answered with.

    Attributes:
        status: The HTTP status of the backend server.
        headers: Its headers, without those that concern one connection only.
        body: The whole body, or an iterator over parts of a stream. The iterator raises where the
            stream breaks, so that a cut answer is never taken for a whole one.
    """

    status: int
    headers: Headers
    body: bytes | Iterator[bytes]
