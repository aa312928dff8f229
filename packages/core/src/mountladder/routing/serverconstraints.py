# serverconstraints.py -- Constraints of a request on its backend server
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Constraints of a request on its backend server."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace


@dataclass(frozen=True, slots=True)
class ServerConstraints:
    """The constraints of a request on its backend server.

    Attributes:
        excluded: The names of servers that must not be chosen, such as those that failed it.
        site: The data centre where its large inputs are stored, or an empty string.
        max_wait_ms: How long it can wait for a rate-limited server, in milliseconds.
        urgency: Its rank; 0 is the most urgent.
        wants_backup: Whether a second server is to keep a copy of its cache.
        size: The size of its body, in bytes.
        version: The software version that the server must run, or None if any will do.
    """

    excluded: frozenset[str] = frozenset()
    site: str = ""
    max_wait_ms: float = 0.0
    urgency: int = 0
    wants_backup: bool = False
    size: int = 0
    version: str | None = None

    def without(self, names: Iterable[str]) -> ServerConstraints:
        """Return the same constraints with more servers excluded."""
        return replace(self, excluded=self.excluded.union(names))
