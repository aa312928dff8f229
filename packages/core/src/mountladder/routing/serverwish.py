# serverwish.py -- What a request wants of its server
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""What a request wants of its server."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace


@dataclass(frozen=True, slots=True)
class ServerWish:
    """What a request wants of its server.

    Attributes:
        excluded: Names of servers that are not wanted, such as those that failed it already.
        site: The data centre where large inputs lie, or an empty string.
        patience_ms: How long it can wait for its turn where servers limit what they take.
        urgency: Its rank, 0 first.
    """

    excluded: frozenset[str] = frozenset()
    site: str = ""
    patience_ms: float = 0.0
    urgency: int = 0

    def without(self, names: Iterable[str]) -> ServerWish:
        """Return the same wish without some more servers."""
        return replace(self, excluded=self.excluded.union(names))
