# faultyobjectstore.py -- An object store with faults
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""An object store with faults."""

from __future__ import annotations

from mountladder.clocks.clock import Clock
from mountladder.errors import StoreUnavailableError
from mountladder.store.objectstore import ObjectStore
from mountladder_standins.faults import Faults


class FaultyObjectStore(ObjectStore):
    """Passes calls on to another object store, with faults that a test switches on."""

    def __init__(self, inner: ObjectStore, clock: Clock) -> None:
        self.inner = inner
        self.clock = clock
        self.faults = Faults()

    def get(self, name: str) -> bytes | None:
        """Return an object; see ObjectStore."""
        self.delay()
        return self.inner.get(name)

    def put(self, name: str, value: bytes) -> None:
        """Write an object; see ObjectStore."""
        self.delay()
        self.inner.put(name, value)

    def delay(self) -> None:
        """Be slow or down."""
        if self.faults.slow_ms:
            self.clock.sleep(self.faults.slow_ms)
        if self.faults.down:
            raise StoreUnavailableError("the object store is down")
