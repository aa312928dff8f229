# upstreamanswer.py -- A backend server's answer while it is being read
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A backend server's answer while it is being read."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable

from mountladder.forwarding.forwardrequest import Headers


class UpstreamAnswer(ABC):
    """An answer whose head has been read and checked.

    Attributes:
        status: The HTTP status.
        headers: The headers to forward to the caller.
        signed: Whether the answer has a valid signature of the server.
        load: The number of calls that the server reports, or None if it does not.
        ends_with_connection: Whether it has neither a length nor chunks, so that it ends as it does
            when the server crashes.
    """

    status: int
    headers: Headers
    signed: bool
    load: int | None
    ends_with_connection = False

    def log_fields(self) -> dict[str, object]:
        """Return what the log says of the answer: its framing, its size and its connection."""
        return {}

    @abstractmethod
    def read(self, limit_ms: float, heard: Callable[[], None] = lambda: None) -> bytes:
        """Return the complete body and keep the connection for another call.

        Args:
            limit_ms: The time limit, in milliseconds.
            heard: Called with each part of the body that arrives.

        Raises:
            StageError: The connection broke, or reading took longer than the limit.
        """

    @abstractmethod
    def read_some(self, limit_ms: float) -> bytes:
        """Return the next bytes of the body, or no bytes at its end.

        Raises:
            StageError: The connection broke, or no data arrived within the limit.
        """

    @abstractmethod
    def close(self) -> None:
        """Close the connection, so that the server cancels the request."""
