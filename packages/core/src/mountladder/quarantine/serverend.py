# serverend.py -- A server that ended while it had a request
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A server that ended while it had a request."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ServerEnd:
    """A server that ended while it had a request.

    Attributes:
        server: The server's name, which each of its starts has for itself.
        ran_ms: How long the request had been there.
        at: When it ended, in the clock's milliseconds.
        alone: Whether no other request was in the same call.
    """

    server: str
    ran_ms: float
    at: float
    alone: bool = True
