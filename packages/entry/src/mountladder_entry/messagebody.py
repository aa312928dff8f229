# messagebody.py -- Which answers have a body
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Which answers have a body."""

from __future__ import annotations

HEAD = "HEAD"
NO_CONTENT = 204
NOT_MODIFIED = 304


def has_body(method: str, status: int) -> bool:
    """Return whether the answer to a request has a body, which may be empty; see RFC 9112, 6.3.

    Args:
        method: The method of the request.
        status: The status of the answer.
    """
    return method != HEAD and status not in (NO_CONTENT, NOT_MODIFIED)
