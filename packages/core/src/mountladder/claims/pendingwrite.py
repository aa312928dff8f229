# pendingwrite.py -- A write that waits for a shared transaction
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A write that waits for a shared transaction."""

from __future__ import annotations

from gevent.event import Event

from mountladder.errors import MountladderError
from mountladder.store.write import Write


class PendingWrite:
    """A write that waits for a shared transaction.

    Attributes:
        write: The write.
        until: Until when it may be sent again, in the clock's milliseconds.
        ambiguous: Whether it was sent and no answer came, so that it may have taken effect.
        settled: Set once its outcome is known, or will not be known in time.
        version: The new version of its row, once it is written.
        error: Why it was not written, or None.
    """

    def __init__(self, write: Write, until: float) -> None:
        self.write = write
        self.until = until
        self.ambiguous = False
        self.settled = Event()
        self.version = 0
        self.error: MountladderError | None = None

    def succeed(self, version: int) -> None:
        """Settle the write as done."""
        self.version = version
        self.settled.set()

    def fail(self, error: MountladderError) -> None:
        """Settle the write with an error."""
        self.error = error
        self.settled.set()
