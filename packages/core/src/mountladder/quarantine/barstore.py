# barstore.py -- Where bars outlast the instances
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Where bars and strong suspicions outlast the instances."""

from __future__ import annotations

from abc import ABC, abstractmethod

from mountladder.quarantine.suspicion import Suspicion


class BarStore(ABC):
    """Barred requests and strong suspects, on the platform; times are ms since the Unix epoch.

    Every call raises StoreUnavailableError or StoreAmbiguousError where the platform does not
    answer; a write may be repeated.
    """

    @abstractmethod
    def read(self) -> tuple[Suspicion, ...]:
        """Return all that are kept."""

    @abstractmethod
    def write(self, suspicion: Suspicion) -> None:
        """Keep one, in place of what is kept of the same request."""

    @abstractmethod
    def remove(self, fingerprint: str) -> None:
        """Drop one, whether it is kept or not."""
