# interruption.py -- A request whose connection to a server broke
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A request whose connection to a server broke."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Interruption:
    """A request whose connection to a server broke while it was there.

    Attributes:
        fingerprint: What all attempts at the request have in common.
        request: The caller's id of this attempt.
        ran_ms: How long it had been at the server.
        at: When the connection broke, in the clock's milliseconds.
        alone: Whether no other request was in the same call.
    """

    fingerprint: str
    request: str
    ran_ms: float
    at: float
    alone: bool = True
