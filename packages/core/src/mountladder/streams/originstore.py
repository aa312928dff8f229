# originstore.py -- Interface of the store of origins of streams
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Interface of the store of origins of streams."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence

from mountladder.streams.originbatch import OriginBatch


class OriginStore(ABC):
    """A table of the platform with the origins of streams, in batches.

    Every call raises StoreUnavailableError or StoreAmbiguousError if the platform does not answer.
    Changes are idempotent.
    """

    @abstractmethod
    def read(self) -> tuple[OriginBatch, ...]:
        """Return all stored batches; how long ago each was written is not known."""

    @abstractmethod
    def change(self, added: Sequence[OriginBatch], removed: Sequence[str]) -> None:
        """Store batches, a few at most, and remove those with the given names."""
