# serverdelays.py -- Cold starts and rate limits that delay requests at backend servers
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Cold starts and rate limits that delay requests at backend servers."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from mountladder.configuration.backendserver import BackendServer


@dataclass(frozen=True, slots=True)
class ServerDelays:
    """The servers at which a request is delayed at present, by a cold start or a rate limit.

    Attributes:
        cold: The names of servers that have just started and are still slow.
        waits_ms: How long a request has to wait for each rate-limited server, in milliseconds, by
            its name.
    """

    cold: frozenset[str] = frozenset()
    waits_ms: Mapping[str, float] = field(default_factory=dict)

    def all_limited(self, servers: Iterable[BackendServer]) -> bool:
        """Return whether all of the given servers are rate-limited."""
        return all(one.name in self.waits_ms for one in servers)


NO_DELAYS = ServerDelays()
