# source.py -- A table of the store that is followed
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A table of the store that is followed."""

from __future__ import annotations

from abc import ABC, abstractmethod

from mountladder.forwarding.sourcepage import SourcePage
from mountladder.store.position import Position


class Source(ABC):
    """A table of the store that is followed by its changes."""

    @abstractmethod
    def read(self) -> SourcePage:
        """Return all rows.

        Raises:
            HistoryLostError: The store came back from an older copy meanwhile.
            StoreUnavailableError: There was no answer.
        """

    @abstractmethod
    def changes(self, after: Position, wait_ms: float) -> SourcePage:
        """Return what changed after a position, waiting for a change where there is none yet.

        Raises:
            HistoryLostError: The store no longer knows the changes since then, or is of another
                era, so that what its versions tell cannot be compared.
            StoreUnavailableError: There was no answer.
        """
