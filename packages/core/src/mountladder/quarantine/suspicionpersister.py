# suspicionpersister.py -- Persists barred requests and strong suspects in the platform's store
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Persists barred requests and strong suspects in the platform's store."""

from __future__ import annotations

from collections import OrderedDict

from eliot import log_message
from gevent.event import Event

from mountladder.clocks.clock import Clock
from mountladder.errors import BadRowError, StoreAmbiguousError, StoreUnavailableError
from mountladder.forwarding.readerelection import ReaderElection
from mountladder.quarantine.presumedjudge import SOURCE, PresumedJudge
from mountladder.quarantine.suspicion import Suspicion
from mountladder.quarantine.suspicionregistry import SuspicionRegistry
from mountladder.quarantine.suspicionstore import SuspicionStore
from mountladder.store.eratracker import MAX_COPY_AGE_MS

# Poll interval of a process that has just started and does not yet know whether it reads the store;
# that is settled within half a second.
POLL_MS = 100.0
RETRY_MS = 1_000.0


class SuspicionPersister:
    """Persists bars and strong suspects of one kind, so that they survive a loss of all instances.

    A bar is written by the instance that observed the last crash, and also by the instance that
    reads the store, in case the first one is lost. The reading instance loads all rows once after
    its start and announces them to the others. After the store was restored from an older copy,
    each instance writes its recent changes again.

    Args:
        store: The platform's table of suspicions.
        quarantine: The quarantine of this instance.
        judge: Decides whether the presumed crashes in rows of the store have happened.
        reader_election: Knows which instance reads the store.
        clock: The clock.

    Attributes:
        pending: Suspicions to be written, or None for a row to be deleted, by fingerprint.
        stored_bars: The number of bars in the rows that were read, by fingerprint.
        recent_writes: The time and value of each recent write or deletion (None), by fingerprint.
    """

    def __init__(
        self,
        store: SuspicionStore,
        quarantine: SuspicionRegistry,
        judge: PresumedJudge,
        reader_election: ReaderElection,
        clock: Clock,
    ) -> None:
        self.store = store
        self.quarantine = quarantine
        self.judge = judge
        self.reader_election = reader_election
        self.clock = clock
        self.pending: OrderedDict[str, Suspicion | None] = OrderedDict()
        self.stored_bars: dict[str, int] = {}
        self.recent_writes: OrderedDict[str, tuple[float, Suspicion | None]] = OrderedDict()
        self.wake = Event()
        quarantine.on_barred = self.queue_bar
        quarantine.on_persist = self.queue_suspicion
        quarantine.on_cleared = self.queue_removal
        judge.on_confirmed = self.queue_suspicion
        judge.on_dropped = self.queue_removal

    def queue_bar(self, suspicion: Suspicion, seen_here: bool) -> None:
        """Queue a bar to be written, if this instance has to write it."""
        if self.stored_bars.get(suspicion.fingerprint, 0) >= suspicion.bars:
            return
        if seen_here or self.reader_election.reading:
            self.pending[suspicion.fingerprint] = suspicion
            self.wake.set()

    def queue_suspicion(self, suspicion: Suspicion) -> None:
        """Queue a suspicion to be written, which one more crash would turn into a bar."""
        self.pending[suspicion.fingerprint] = suspicion
        self.wake.set()

    def rewrite_recent(self) -> None:
        """Queue recent writes again, since the store may have lost them."""
        self.expire_writes()
        for fingerprint, (_, suspicion) in self.recent_writes.items():
            self.pending.setdefault(fingerprint, self.newest(fingerprint, suspicion))
        if self.pending:
            log_message("quarantine-rewritten", fingerprints=list(self.pending))
            self.wake.set()

    def newest(self, fingerprint: str, written: Suspicion | None) -> Suspicion | None:
        """Return what a row should hold by now, which another instance may have written since."""
        known = self.quarantine.suspicions.get(fingerprint)
        if known is None or (written is not None and written.presumed and not known.is_persisted):
            return written
        return known if known.is_persisted else None

    def expire_writes(self) -> None:
        """Forget writes that are older than any copy the store may be restored from."""
        oldest = self.clock.now() - MAX_COPY_AGE_MS
        while self.recent_writes and next(iter(self.recent_writes.values()))[0] < oldest:
            self.recent_writes.popitem(last=False)

    def queue_removal(self, fingerprint: str) -> None:
        """Queue the row of a request that was cleared, or has expired, to be deleted."""
        self.stored_bars.pop(fingerprint, None)
        self.pending[fingerprint] = None
        self.wake.set()

    def run(self) -> None:
        """Load the rows if this instance reads the store, then write queued changes for ever."""
        while not self.reader_election.reading and not self.reader_election.has_live_reader():
            self.clock.sleep(POLL_MS)
        while self.reader_election.reading and not self.read():
            self.clock.sleep(RETRY_MS)
        while True:
            self.wake.wait()
            self.wake.clear()
            while self.pending:
                if not self.write():
                    self.clock.sleep(RETRY_MS)

    def read(self) -> bool:
        """Load all rows and merge them into the quarantine; return whether the store answered."""
        try:
            rows = self.store.read()
        except (StoreUnavailableError, StoreAmbiguousError, BadRowError) as error:
            log_message("quarantine-load-failed", reason=str(error))
            return False
        log_message("quarantine-loaded", kind=self.quarantine.kind.noun, entries=len(rows))
        to_clock_ms = self.clock.now() - self.clock.wall()
        known = [suspicion.shifted(to_clock_ms) for suspicion in rows]
        self.stored_bars = {suspicion.fingerprint: suspicion.bars for suspicion in known}
        now = self.clock.now()
        for suspicion in known:
            if suspicion.expires_at < now:
                self.queue_removal(suspicion.fingerprint)
        valid = [suspicion for suspicion in known if suspicion.expires_at >= now]
        self.quarantine.merge([one for one in valid if not one.presumed], SOURCE)
        self.judge.start([one for one in valid if one.presumed])
        return True

    def write(self) -> bool:
        """Write or delete the first queued row; return whether the store answered."""
        fingerprint, suspicion = next(iter(self.pending.items()))
        try:
            if suspicion is None:
                self.store.remove(fingerprint)
            else:
                self.store.write(suspicion.shifted(self.clock.wall() - self.clock.now()))
        except (StoreUnavailableError, StoreAmbiguousError) as error:
            log_message("quarantine-write-failed", fingerprint=fingerprint, reason=str(error))
            return False
        if self.pending.get(fingerprint) is suspicion:
            del self.pending[fingerprint]
        self.recent_writes.pop(fingerprint, None)
        self.recent_writes[fingerprint] = (self.clock.now(), suspicion)
        self.expire_writes()
        return True
