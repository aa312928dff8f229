# restraints.py -- What holds some servers back at a moment
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""What holds some servers back at a moment."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from mountladder.configuration.backendserver import BackendServer


@dataclass(frozen=True, slots=True)
class Restraints:
    """What holds some servers back at a moment.

    Attributes:
        cold: Names of servers that have just started, and are slow.
        waits_ms: How long a request has to wait for each server that limits what it takes, by its
            name.
    """

    cold: frozenset[str] = frozenset()
    waits_ms: Mapping[str, float] = field(default_factory=dict)

    def limit_all(self, servers: Iterable[BackendServer]) -> bool:
        """Tell whether all of some servers limit what they take."""
        return all(one.name in self.waits_ms for one in servers)


NO_RESTRAINTS = Restraints()
