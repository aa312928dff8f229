# source.py -- A table of the store that is followed
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A table of the store that is followed."""

from __future__ import annotations

from abc import ABC, abstractmethod

from mountladder.forwarding.sourcepage import SourcePage


class Source(ABC):
    """A table of the store that is followed by its changes."""

    @abstractmethod
    def read(self) -> SourcePage:
        """Return all rows.

        Raises:
            StoreUnavailableError: There was no answer.
        """

    @abstractmethod
    def changes(self, after: int, wait_ms: float) -> SourcePage:
        """Return what changed after a version, waiting for a change where there is none yet.

        Raises:
            HistoryLostError: The store no longer knows the changes since then.
            StoreUnavailableError: There was no answer.
        """
