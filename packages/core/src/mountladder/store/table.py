# table.py -- Interface to the platform's transactional table service
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Interface to the platform's transactional table service."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence

from mountladder.store.row import Row
from mountladder.store.write import Write


class Table(ABC):
    """A table of versioned rows, written by atomic transactions."""

    @abstractmethod
    def read(self, key: str) -> Row | None:
        """Return a row, or None where there is none.

        Raises:
            StoreUnavailableError: The service cannot be reached.
        """

    @abstractmethod
    def scan(self, prefix: str, after: str = "", limit: int = 100) -> list[Row]:
        """Return up to `limit` rows whose keys have a prefix and come after a key, in key order.

        Raises:
            StoreUnavailableError: The service cannot be reached.
        """

    @abstractmethod
    def commit(self, writes: Sequence[Write]) -> int:
        """Apply every write, or none where a condition does not hold.

        Returns:
            The number of the transaction, which is the new version of every row it wrote.

        Raises:
            ConditionFailedError: A condition did not hold; nothing was written.
            StoreUnavailableError: The service refused; nothing was written.
            StoreAmbiguousError: No answer came; the transaction may have taken effect, or may yet.
        """
