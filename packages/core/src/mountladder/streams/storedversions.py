# storedversions.py -- What the platform's store holds about the software versions of services
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""What the platform's store holds about the software versions of services."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from mountladder.store.position import Position
from mountladder.streams.servedversion import ServedVersion

# Stands for a confirmation that cannot be read, which is of no era.
UNREADABLE_ERA = -1


@dataclass(frozen=True, slots=True)
class StoredVersions:
    """What the platform's store holds about the software versions of services.

    Attributes:
        versions: The stored versions, and whether all servers of each were leaving.
        era: The era of the store in which they were read.
        confirmed_era: The era in which an instance that knew all versions last stored them, or
            None if none ever did.
        confirmed_version: The version of the store, in that era, up to which that instance had
            read the list of servers, or None if its build did not store that.
    """

    versions: Mapping[ServedVersion, bool] = field(default_factory=dict)
    era: int = 0
    confirmed_era: int | None = None
    confirmed_version: int | None = None

    @property
    def confirmed_position(self) -> Position | None:
        """Return up to where all versions of listed servers are stored, or None if unknown."""
        if not self.is_confirmed or self.confirmed_version is None:
            return None
        return Position(self.era, self.confirmed_version)

    @property
    def is_confirmed(self) -> bool:
        """Return whether they were confirmed since the store was last restored."""
        return self.confirmed_era == self.era
