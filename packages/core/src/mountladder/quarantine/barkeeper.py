# barkeeper.py -- Keeping bars on the platform
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Keeping bars and strong suspicions on the platform."""

from __future__ import annotations

from collections import OrderedDict

from eliot import log_message
from gevent.event import Event

from mountladder.clocks.clock import Clock
from mountladder.errors import StoreAmbiguousError, StoreUnavailableError
from mountladder.forwarding.readerelection import ReaderElection
from mountladder.quarantine.barstore import BarStore
from mountladder.quarantine.quarantine import Quarantine
from mountladder.quarantine.suspicion import Suspicion
from mountladder.store.eras import OLDEST_COPY_MS

# How often a process that has just started looks whether it is to read the bars; it settles within
# half a second.
LOOK_MS = 100.0
RETRY_MS = 1_000.0
# The store's name in what the quarantine logs.
SOURCE = "the store"


class BarKeeper:
    """Keeps bars and strong suspicions on the platform, so that they outlast all instances.

    Who saw the last end writes the bar, and who follows the store as well, should the other one
    be lost. Who follows the store reads all once after its start and tells the others. Where the
    store has come back from an older copy, each one writes again what it wrote lately.

    Args:
        store: The platform's table.
        quarantine: This instance's book.
        reader_election: Tells which instance follows the store.
        clock: The clock.

    Attributes:
        waiting: What is to be written, or dropped where it is None, by fingerprint.
        stored: How often each request was barred by the rows that were read.
        written: What this instance wrote or dropped lately, and when, by fingerprint.
    """

    def __init__(
        self, store: BarStore, quarantine: Quarantine, reader_election: ReaderElection, clock: Clock
    ) -> None:
        self.store = store
        self.quarantine = quarantine
        self.reader_election = reader_election
        self.clock = clock
        self.waiting: OrderedDict[str, Suspicion | None] = OrderedDict()
        self.stored: dict[str, int] = {}
        self.written: OrderedDict[str, tuple[float, Suspicion | None]] = OrderedDict()
        self.wake = Event()
        quarantine.on_barred = self.take_bar
        quarantine.on_lasting = self.take_lasting
        quarantine.on_cleared = self.take_clearing

    def take_bar(self, suspicion: Suspicion, seen_here: bool) -> None:
        """Have a bar written, where that is this instance's to do."""
        if self.stored.get(suspicion.fingerprint, 0) >= suspicion.bars:
            return
        if seen_here or self.reader_election.reading:
            self.waiting[suspicion.fingerprint] = suspicion
            self.wake.set()

    def take_lasting(self, suspicion: Suspicion) -> None:
        """Have a suspicion written that one more end would make a bar."""
        self.waiting[suspicion.fingerprint] = suspicion
        self.wake.set()

    def write_again(self) -> None:
        """Have what was written lately written again, since the store may have lost it."""
        self.forget_written()
        for fingerprint, (_, suspicion) in self.written.items():
            self.waiting.setdefault(fingerprint, suspicion)
        if self.waiting:
            log_message("bars-written-again", fingerprints=list(self.waiting))
            self.wake.set()

    def forget_written(self) -> None:
        """Forget what was written so long ago that no copy is older."""
        oldest = self.clock.now() - OLDEST_COPY_MS
        while self.written and next(iter(self.written.values()))[0] < oldest:
            self.written.popitem(last=False)

    def take_clearing(self, fingerprint: str) -> None:
        """Have a bar dropped that does not hold any more."""
        self.stored.pop(fingerprint, None)
        self.waiting[fingerprint] = None
        self.wake.set()

    def run(self) -> None:
        """Read what is kept where that is this instance's to do, then write, for ever."""
        while not self.reader_election.reading and not self.reader_election.has_live_reader():
            self.clock.sleep(LOOK_MS)
        while self.reader_election.reading and not self.read():
            self.clock.sleep(RETRY_MS)
        while True:
            self.wake.wait()
            self.wake.clear()
            while self.waiting:
                if not self.write():
                    self.clock.sleep(RETRY_MS)

    def read(self) -> bool:
        """Take in what is kept; tell whether the store answered."""
        try:
            kept = self.store.read()
        except (StoreUnavailableError, StoreAmbiguousError) as error:
            log_message("bars-unread", reason=str(error))
            return False
        log_message("bars-read", bars=len(kept))
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
        """Write or drop the first bar that waits; tell whether the store answered."""
        fingerprint, suspicion = next(iter(self.waiting.items()))
        try:
            if suspicion is None:
                self.store.remove(fingerprint)
            else:
                self.store.write(suspicion.shifted(self.clock.wall() - self.clock.now()))
        except (StoreUnavailableError, StoreAmbiguousError) as error:
            log_message("bar-unwritten", fingerprint=fingerprint, reason=str(error))
            return False
        if self.waiting.get(fingerprint) is suspicion:
            del self.waiting[fingerprint]
        self.written.pop(fingerprint, None)
        self.written[fingerprint] = (self.clock.now(), suspicion)
        self.forget_written()
        return True
