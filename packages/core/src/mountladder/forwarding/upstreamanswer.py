# upstreamanswer.py -- An answer of a backend server that is being read
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""An answer of a backend server that is being read."""

from __future__ import annotations

from abc import ABC, abstractmethod

from mountladder.forwarding.forwardrequest import Headers


class UpstreamAnswer(ABC):
    """An answer whose head was read and checked.

    Attributes:
        status: The HTTP status.
        headers: The headers to pass on to the caller.
        signed: Whether the answer bears the server's signature.
        load: How many calls the server says it has, or None where it does not say.
    """

    status: int
    headers: Headers
    signed: bool
    load: int | None

    @abstractmethod
    def read(self, limit_ms: float) -> bytes:
        """Return the whole body, and keep the connection for another call.

        Raises:
            StageError: It broke off, or took longer than the limit.
        """

    @abstractmethod
    def read_some(self, limit_ms: float) -> bytes:
        """Return the next bytes of the body, or none at its end.

        Raises:
            StageError: It broke off, or nothing came within the limit.
        """

    @abstractmethod
    def close(self) -> None:
        """Close the connection, so that the server stops working."""
