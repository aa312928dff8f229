# barkeeper.py -- Persists barred requests and strong suspects in the platform's store
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Persists barred requests and strong suspects in the platform's store."""

from __future__ import annotations

from collections import OrderedDict

from eliot import log_message
from gevent.event import Event

from mountladder.clocks.clock import Clock
from mountladder.errors import StoreAmbiguousError, StoreUnavailableError
from mountladder.forwarding.readers import Readers
from mountladder.quarantine.barstore import BarStore
from mountladder.quarantine.quarantine import Quarantine
from mountladder.quarantine.suspicion import Suspicion
from mountladder.store.eras import OLDEST_COPY_MS

# Poll interval of a process that has just started and does not yet know whether it reads the store;
# that is settled within half a second.
LOOK_MS = 100.0
RETRY_MS = 1_000.0
# The store's name as a source in log lines of the quarantine.
SOURCE = "the store"


class BarKeeper:
    """Persists barred requests and strong suspects, so that they survive a loss of all instances.

    A bar is written by the instance that observed the last crash, and also by the instance that
    reads the store, in case the first one is lost. The reading instance loads all rows once after
    its start and announces them to the others. After the store was restored from an older copy,
    each instance writes its recent changes again.

    Args:
        store: The platform's table of suspicions.
        quarantine: The quarantine of this instance.
        readers: Knows which instance reads the store.
        clock: The clock.

    Attributes:
        waiting: Suspicions to be written, or None for a row to be deleted, by fingerprint.
        stored: The number of bars in the rows that were read, by fingerprint.
        written: The time and value of each recent write or deletion (None), by fingerprint.
    """

    def __init__(
        self, store: BarStore, quarantine: Quarantine, readers: Readers, clock: Clock
    ) -> None:
        self.store = store
        self.quarantine = quarantine
        self.readers = readers
        self.clock = clock
        self.waiting: OrderedDict[str, Suspicion | None] = OrderedDict()
        self.stored: dict[str, int] = {}
        self.written: OrderedDict[str, tuple[float, Suspicion | None]] = OrderedDict()
        self.wake = Event()
        quarantine.on_barred = self.take_bar
        quarantine.on_lasting = self.take_lasting
        quarantine.on_cleared = self.take_clearing

    def take_bar(self, suspicion: Suspicion, seen_here: bool) -> None:
        """Queue a bar to be written, if this instance has to write it."""
        if self.stored.get(suspicion.fingerprint, 0) >= suspicion.bars:
            return
        if seen_here or self.readers.reading:
            self.waiting[suspicion.fingerprint] = suspicion
            self.wake.set()

    def take_lasting(self, suspicion: Suspicion) -> None:
        """Queue a suspicion to be written that one more crash would turn into a bar."""
        self.waiting[suspicion.fingerprint] = suspicion
        self.wake.set()

    def write_again(self) -> None:
        """Queue recent writes again, since the store may have lost them."""
        self.forget_written()
        for fingerprint, (_, suspicion) in self.written.items():
            self.waiting.setdefault(fingerprint, suspicion)
        if self.waiting:
            log_message("quarantine-rewritten", fingerprints=list(self.waiting))
            self.wake.set()

    def forget_written(self) -> None:
        """Forget writes that are older than any copy the store may be restored from."""
        oldest = self.clock.now() - OLDEST_COPY_MS
        while self.written and next(iter(self.written.values()))[0] < oldest:
            self.written.popitem(last=False)

    def take_clearing(self, fingerprint: str) -> None:
        """Queue the row of a request that was cleared, or has expired, to be deleted."""
        self.stored.pop(fingerprint, None)
        self.waiting[fingerprint] = None
        self.wake.set()

    def run(self) -> None:
        """Load the rows if this instance reads the store, then write queued changes for ever."""
        while not self.readers.reading and not self.readers.has_fed_peer():
            self.clock.sleep(LOOK_MS)
        while self.readers.reading and not self.read():
            self.clock.sleep(RETRY_MS)
        while True:
            self.wake.wait()
            self.wake.clear()
            while self.waiting:
                if not self.write():
                    self.clock.sleep(RETRY_MS)

    def read(self) -> bool:
        """Load all rows and merge them into the quarantine; return whether the store answered."""
        try:
            kept = self.store.read()
        except (StoreUnavailableError, StoreAmbiguousError) as error:
            log_message("quarantine-load-failed", reason=str(error))
            return False
        log_message("quarantine-loaded", entries=len(kept))
        to_clock_ms = self.clock.now() - self.clock.wall()
        known = [one.shifted(to_clock_ms) for one in kept]
        self.stored = {one.fingerprint: one.bars for one in known}
        now = self.clock.now()
        for one in known:
            if one.kept_until < now:
                self.take_clearing(one.fingerprint)
        self.quarantine.take([one for one in known if one.kept_until >= now], SOURCE)
        return True

    def write(self) -> bool:
        """Write or delete the first queued row; return whether the store answered."""
        fingerprint, suspicion = next(iter(self.waiting.items()))
        try:
            if suspicion is None:
                self.store.remove(fingerprint)
            else:
                self.store.write(suspicion.shifted(self.clock.wall() - self.clock.now()))
        except (StoreUnavailableError, StoreAmbiguousError) as error:
            log_message("quarantine-write-failed", fingerprint=fingerprint, reason=str(error))
            return False
        if self.waiting.get(fingerprint) is suspicion:
            del self.waiting[fingerprint]
        self.written.pop(fingerprint, None)
        self.written[fingerprint] = (self.clock.now(), suspicion)
        self.forget_written()
        return True
