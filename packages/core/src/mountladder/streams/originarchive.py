# originarchive.py -- Keeps the origins of streams in the platform's store
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Keeps the origins of streams in the platform's store."""

from __future__ import annotations

import itertools
from collections.abc import Iterable, Sequence

from eliot import log_message
from gevent.event import Event

from mountladder.clocks.clock import Clock
from mountladder.errors import MountladderError
from mountladder.streams.originbatch import OriginBatch
from mountladder.streams.originholders import OriginHolders
from mountladder.streams.originregistry import OriginRegistry
from mountladder.streams.originstore import OriginStore
from mountladder.streams.storeread import StoreRead
from mountladder.streams.streamorigin import StreamOrigin
from mountladder.streams.versionhistory import VersionHistory

# The least time between two calls. What began in it is lost with all instances.
INTERVAL_MS = 250.0
RETRY_MS = 1_000.0
# How often an instance checks whether it has to write, and whether batches are past.
CHECK_MS = 1_000.0
# A read that began so recently serves further requests, and one that failed is not repeated.
MAX_READ_AGE_MS = 1_000.0
# A batch of so many takes up some 43 KB.
MAX_BATCH = 2_000


class OriginArchive:
    """Keeps the origins of streams in the platform's store while several versions serve.

    An instance remembers origins, and those that it has told as well. After a loss of all of them,
    new processes find the origins in the store. One instance writes them for all of a small fleet,
    or of its data centre, in batches that it removes once their streams are past.

    Args:
        store: The platform's table of origins.
        holders: Knows which instance writes the origins of a service.
        registry: The origins that this instance knows.
        history: The versions that have lately served each service.
        name: The prefix of the names of batches, which differs with each start of a process.
        clock: The clock.

    Attributes:
        pending: The origins that are to be written, by stream.
        expires_at: When the streams of each stored batch that is known are past, by its name.
        writing: The services whose origins this instance writes.
        shared_read: Reads the origins for requests.
    """

    def __init__(
        self,
        store: OriginStore,
        holders: OriginHolders,
        registry: OriginRegistry,
        history: VersionHistory,
        name: str,
        clock: Clock,
    ) -> None:
        self.store = store
        self.holders = holders
        self.registry = registry
        self.history = history
        self.clock = clock
        self.names = (f"{name}-{number}" for number in itertools.count())
        self.pending: dict[bytes, StreamOrigin] = {}
        self.expires_at: dict[str, float] = {}
        self.writing: frozenset[str] = frozenset()
        self.shared_read = StoreRead(self.read, clock)
        self.wake = Event()

    def add(self, origins: Iterable[StreamOrigin]) -> None:
        """Have origins written that are new to this instance, if it writes those of the service."""
        added = {one.stream: one for one in origins if one.service in self.writing}
        if added:
            self.pending |= added
            self.wake.set()

    def run(self) -> None:
        """Write the origins of services that several versions serve, where this is due."""
        while True:
            self.wake.clear()
            self.update_writing()
            self.clock.sleep(INTERVAL_MS if self.write() else RETRY_MS)
            if not self.pending:
                self.clock.wait(self.wake, CHECK_MS)

    def update_writing(self) -> None:
        """Find the services whose origins this instance writes.

        Origins of further ones are written unless they are stored: the instance that wrote them
        before may have ended at any moment, also before it wrote that a stream is unverified. Its
        batches are removed here.
        """
        due = frozenset(one for one in self.history.several() if self.holders.is_first(one))
        started, self.writing = due - self.writing, due
        if not started:
            return
        stored: set[tuple[bytes, str]] = set()
        now = self.clock.now()
        for batch in self.load() or ():
            self.expires_at.setdefault(batch.name, now + batch.lifetime_ms)
            for key, streams in batch.streams.items():
                stored.update((stream, key.version) for stream in streams)
        known = [one for service in started for one in self.registry.of_service(service)]
        missing = [one for one in known if (one.stream, one.version) not in stored]
        self.pending |= {one.stream: one for one in missing}
        log_message("origins-write-started", services=sorted(started), pending=len(self.pending))

    def handle_restore(self) -> None:
        """Have missing origins written again, since the store was restored from an older copy."""
        self.writing = frozenset()
        self.wake.set()

    def refresh(self) -> bool:
        """Read all origins unless that was just done; return whether the store answered."""
        return self.shared_read.refresh(self.clock.now() - MAX_READ_AGE_MS)

    def read(self) -> bool:
        """Read all origins, and return whether the store answered."""
        return self.load() is not None

    def load(self) -> Sequence[OriginBatch] | None:
        """Read all batches and add their origins to the known ones; None if that failed."""
        try:
            batches = self.store.read()
        except MountladderError as error:
            log_message("origins-read-failed", reason=str(error))
            return None
        found = [one for batch in batches for one in batch.origins(self.clock.now())]
        added = sum(self.registry.add(one) for one in found)
        log_message("origins-read", batches=len(batches), origins=len(found), added=added)
        return batches

    def write(self) -> bool:
        """Write a batch of pending origins and remove past batches; return whether that worked."""
        now = self.clock.now()
        self.pending = {key: one for key, one in self.pending.items() if one.until > now}
        origins = list(itertools.islice(self.pending.values(), MAX_BATCH))
        batches = [OriginBatch.of(next(self.names), origins, now)] if origins else []
        past = [name for name, at in self.expires_at.items() if at <= now]
        if not batches and not past:
            return True
        # A call that seems to have failed may have stored it all the same.
        self.expires_at |= {one.name: now + one.lifetime_ms for one in batches}
        try:
            self.store.change(batches, past)
        except MountladderError as error:
            log_message("origins-write-failed", pending=len(self.pending), reason=str(error))
            return False
        for name in past:
            del self.expires_at[name]
        for one in origins:
            self.pending.pop(one.stream, None)
        log_message("origins-written", origins=len(origins), removed=len(past))
        return True
