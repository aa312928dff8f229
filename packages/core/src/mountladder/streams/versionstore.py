# versionstore.py -- Interface of the store of the software versions that serve each service
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Interface of the store of the software versions that serve each service."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence

from mountladder.streams.servedversion import ServedVersion


class VersionStore(ABC):
    """A table of the software versions that serve each service, or have lately done so.

    Every call raises StoreUnavailableError or StoreAmbiguousError if the platform does not answer.
    Changes are idempotent.
    """

    @abstractmethod
    def read(self) -> tuple[ServedVersion, ...]:
        """Return all stored versions."""

    @abstractmethod
    def change(self, added: Sequence[ServedVersion], removed: Sequence[ServedVersion]) -> None:
        """Store and remove versions."""
