# faultyobjectstore.py -- An object store with injected faults
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""An object store with injected faults."""

from __future__ import annotations

from mountladder.clocks.clock import Clock
from mountladder.errors import StoreUnavailableError
from mountladder.store.objectstore import ObjectStore
from mountladder_standins.faults import Faults


class FaultyObjectStore(ObjectStore):
    """Forwards calls to another object store and injects the faults that are set."""

    def __init__(self, inner: ObjectStore, clock: Clock) -> None:
        self.inner = inner
        self.clock = clock
        self.faults = Faults()

    def get(self, name: str) -> bytes | None:
        """Return an object; see ObjectStore."""
        self.apply_faults()
        return self.inner.get(name)

    def put(self, name: str, value: bytes) -> None:
        """Write an object; see ObjectStore."""
        self.apply_faults()
        self.inner.put(name, value)

    def apply_faults(self) -> None:
        """Delay the call if the store is slow; raise an error if it is down."""
        if self.faults.slow_ms:
            self.clock.sleep(self.faults.slow_ms)
        if self.faults.down:
            raise StoreUnavailableError("the object store is down")
