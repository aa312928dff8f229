# memoryobjectstore.py -- An in-memory object store
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""An in-memory object store."""

from __future__ import annotations

from mountladder.store.objectstore import ObjectStore


class MemoryObjectStore(ObjectStore):
    """An object store in the memory of this process."""

    def __init__(self) -> None:
        self.objects: dict[str, bytes] = {}

    def get(self, name: str) -> bytes | None:
        """Return an object; see ObjectStore."""
        return self.objects.get(name)

    def put(self, name: str, value: bytes) -> None:
        """Write an object; see ObjectStore."""
        self.objects[name] = value
