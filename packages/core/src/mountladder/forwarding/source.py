# source.py -- Interface of a store table that is read and followed by its changes
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Interface of a store table that is read and followed by its changes."""

from __future__ import annotations

from abc import ABC, abstractmethod

from mountladder.forwarding.sourcepage import SourcePage
from mountladder.store.position import Position


class Source(ABC):
    """A store table that is read once and then followed by its changes."""

    @abstractmethod
    def read(self) -> SourcePage:
        """Return all rows.

        Raises:
            HistoryLostError: The store was restored from an older copy meanwhile.
            StoreUnavailableError: The store did not answer.
        """

    @abstractmethod
    def changes(self, after: Position, wait_ms: float) -> SourcePage:
        """Return the rows that changed after a position; wait for a change if there is none yet.

        Args:
            after: The position.
            wait_ms: How long to wait at most, in milliseconds.

        Raises:
            HistoryLostError: The store no longer has the changes since then, or is of another era,
                so that its versions cannot be compared.
            StoreUnavailableError: The store did not answer.
        """
