# versionstore.py -- Interface of the store of the software versions that serve each service
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Interface of the store of the software versions that serve each service."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Mapping, Sequence

from mountladder.store.position import Position
from mountladder.streams.servedversion import ServedVersion
from mountladder.streams.storedversions import StoredVersions


class VersionStore(ABC):
    """A table of the software versions that serve each service, or have lately done so.

    Every call raises StoreUnavailableError or StoreAmbiguousError if the platform does not answer.
    Changes are idempotent.
    """

    @abstractmethod
    def read(self) -> StoredVersions:
        """Return all stored versions, and the eras in which they were read and last confirmed."""

    @abstractmethod
    def change(
        self,
        changed: Mapping[ServedVersion, bool],
        removed: Sequence[ServedVersion],
        confirmed: Position | None = None,
    ) -> None:
        """Store and remove versions.

        Args:
            changed: Versions, and whether all servers of each are leaving.
            removed: Versions that no stream can have begun that still lasts.
            confirmed: The position up to which the versions of all listed servers are stored once
                these are, or None to confirm nothing. It is stored last.
        """
