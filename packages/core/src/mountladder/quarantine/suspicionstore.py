# suspicionstore.py -- Interface of the store of barred requests and strong suspects
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Interface of the store of barred requests and strong suspects."""

from __future__ import annotations

from abc import ABC, abstractmethod

from mountladder.quarantine.suspicion import Suspicion


class SuspicionStore(ABC):
    """A table of suspicions on the platform, with times in milliseconds since the Unix epoch.

    A row with presumed crashes makes no request suspect before the list of servers was checked.

    Every call raises StoreUnavailableError or StoreAmbiguousError if the platform does not answer.
    Writes are idempotent.
    """

    @abstractmethod
    def read(self) -> tuple[Suspicion, ...]:
        """Return all stored suspicions."""

    @abstractmethod
    def write(self, suspicion: Suspicion) -> None:
        """Store a suspicion in place of a stored one of the same request."""

    @abstractmethod
    def remove(self, fingerprint: str) -> None:
        """Delete the suspicion of a request, if there is one."""
