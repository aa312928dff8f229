# interruption.py -- A request whose connection to a server broke
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A request whose connection to a server broke."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Interruption:
    """A request whose connection to a server broke while the server had it.

    Attributes:
        fingerprint: The hash that all attempts at the same request share.
        request: The caller's id of this attempt.
        ran_ms: How long the server had had it.
        at: When the connection broke, in the clock's milliseconds.
        alone: Whether it was the only request of its call.
        begun_ms: For how long the server had been answering it; 0 if it had not begun to.
        parts: The fingerprints of the parts of its prompt that other requests may share.
    """

    fingerprint: str
    request: str
    ran_ms: float
    at: float
    alone: bool = True
    begun_ms: float = 0.0
    parts: tuple[str, ...] = ()
