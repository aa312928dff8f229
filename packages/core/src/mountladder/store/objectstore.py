# objectstore.py -- Interface to the platform's object store
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Interface to the platform's object store."""

from __future__ import annotations

from abc import ABC, abstractmethod


class ObjectStore(ABC):
    """Named objects, each of which is replaced as a whole."""

    @abstractmethod
    def get(self, name: str) -> bytes | None:
        """Return an object, or None where there is none.

        Raises:
            StoreUnavailableError: The store cannot be reached.
        """

    @abstractmethod
    def put(self, name: str, value: bytes) -> None:
        """Write an object.

        Raises:
            StoreUnavailableError: The store refused; nothing was written.
            StoreAmbiguousError: No answer came; the object may have been written.
        """
