# framing.py -- Tells how an answer shows the end of its body
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Tells how an answer shows the end of its body."""

from __future__ import annotations

from urllib3 import BaseHTTPResponse


def is_framed(response: BaseHTTPResponse) -> bool:
    """Return whether an answer has a length or chunks, without which it ends with its connection.

    The HTTP library ignores a length that it cannot read.
    """
    return response.length_remaining is not None or response.chunked
