# versionstore.py -- Interface of the store of the software versions that serve each service
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Interface of the store of the software versions that serve each service."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Mapping, Sequence

from mountladder.streams.servedversion import ServedVersion


class VersionStore(ABC):
    """A table of the software versions that serve each service, or have lately done so.

    Every call raises StoreUnavailableError or StoreAmbiguousError if the platform does not answer.
    Changes are idempotent.
    """

    @abstractmethod
    def read(self) -> dict[ServedVersion, bool]:
        """Return all stored versions, and whether all servers of each were leaving."""

    @abstractmethod
    def change(
        self, changed: Mapping[ServedVersion, bool], removed: Sequence[ServedVersion]
    ) -> None:
        """Store versions, with whether all servers of each are leaving, and remove others."""
