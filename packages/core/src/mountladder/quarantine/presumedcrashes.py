# presumedcrashes.py -- Finds requests that have probably crashed two servers
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Finds requests that have probably crashed two servers."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Sequence
from dataclasses import replace

from eliot import log_message

from mountladder.membership.link import Link
from mountladder.metrics.metric import Metric
from mountladder.quarantine.crashdetector import LISTING_DELAY_MS
from mountladder.quarantine.interruption import Interruption
from mountladder.quarantine.quarantineservice import QuarantineService
from mountladder.quarantine.servercrash import ServerCrash
from mountladder.quarantine.suspicion import MAX_CRASHES, NEVER, Suspicion
from mountladder.quarantine.suspicionregistry import MAX_ENTRIES, MAX_SUSPECTS

# Min. time between two writes of the presumed suspicion of one request. By then the list of servers
# has shown what became of the servers of the first write.
WRITE_INTERVAL_MS = LISTING_DELAY_MS
# Max. number of requests whose rows are written within that interval. An outage of the network
# breaks off thousands of requests at two servers; bars wait for the store in the same queue.
MAX_WRITTEN = 64


class PresumedCrashes:
    """Finds requests that broke off at two servers before it is known whether these crashed.

    Where a crashed server's machine does not answer, the list of servers shows the crash only after
    some seconds, and a loss of all instances within them would leave the request unknown. The
    attempts may have come to any instances, so each reports its broken connections to the
    coordinator of the service, which costs one message each. The coordinator has a row written at
    the second server, and announces that, so that any instance that answers the request reports it.

    Args:
        service: The quarantine of this instance, with its crash detection and exchange.
        find_coordinator: Returns the link to the coordinator of a service, or None if it is this
            instance.

    Attributes:
        recent: Requests with recently broken connections, by fingerprint, the latest last.
        written_at: When rows were last written here, by fingerprint, the latest last.
        rows: The fingerprints of rows that were written here and not settled yet.
        on_write: Called with each suspicion to be written, presumed or confirmed.
        on_remove: Called with the fingerprint of each row to be deleted.
    """

    def __init__(
        self, service: QuarantineService, find_coordinator: Callable[[str], Link | None]
    ) -> None:
        self.quarantine = service.registry
        self.exchange = service.exchange
        self.clock = service.clock
        self.find_coordinator = find_coordinator
        self.recent: OrderedDict[str, Suspicion] = OrderedDict()
        self.written_at: OrderedDict[str, float] = OrderedDict()
        self.rows: set[str] = set()
        self.on_write: Callable[[Suspicion], None] = lambda suspicion: None
        self.on_remove: Callable[[str], None] = lambda fingerprint: None
        service.detector.on_unresolved = self.report
        service.registry.on_answered = self.report_answer
        service.exchange.on_received = self.receive

    def report(self, server: str, service: str, lost: Sequence[Interruption]) -> None:
        """Report requests to the coordinator that broke off at a server which may have crashed.

        Args:
            server: The name of the server's incarnation.
            service: The service it runs.
            lost: The requests that it had in flight.
        """
        lost = [one for one in lost if not self.quarantine.was_answered(one.fingerprint, one.at)]
        lost = sorted(lost, key=lambda one: one.ran_ms)[:MAX_SUSPECTS]
        entries = [
            Suspicion(
                one.fingerprint,
                service,
                presumed=(ServerCrash(server, one.ran_ms, one.at, one.alone),),
            )
            for one in lost
        ]
        # Also kept here, so that the answer of a later attempt at this instance is reported.
        self.receive(entries)
        link = self.find_coordinator(service)
        if link is not None:
            self.exchange.send(link, entries)

    def report_answer(self, fingerprint: str) -> None:
        """Report a complete answer to the coordinator, if the request broke off recently."""
        known = self.recent.get(fingerprint)
        if known is not None:
            self.clear(fingerprint)
            link = self.find_coordinator(known.service)
            if link is not None:
                now = self.clock.now()
                self.exchange.send(link, [Suspicion(fingerprint, known.service, cleared_at=now)])

    def receive(self, entries: Sequence[Suspicion]) -> None:
        """Record broken connections, and forget those of requests that were cleared since."""
        for one in entries:
            known = self.recent.get(one.fingerprint)
            if one.presumed:
                self.add(one)
            elif known is not None and one.cleared_at >= known.presumed[-1].at:
                self.clear(one.fingerprint)

    def add(self, received: Suspicion) -> None:
        """Record the broken connections of a request; its coordinator may have a row written."""
        fingerprint, since = received.fingerprint, self.clock.now() - LISTING_DELAY_MS
        known = self.recent.pop(fingerprint, received)
        found = {one.server: one for one in (*received.presumed, *known.presumed)}
        presumed = sorted(
            (one for one in found.values() if one.at >= since), key=lambda one: one.at
        )
        if not presumed:
            return
        self.recent[fingerprint] = replace(received, presumed=tuple(presumed[-MAX_CRASHES:]))
        self.evict(since)
        if self.find_coordinator(received.service) is None:
            self.consider(self.recent[fingerprint])

    def evict(self, since: float) -> None:
        """Forget expired records, and the oldest ones above the limit."""
        while self.recent:
            oldest = next(iter(self.recent.values()))
            if oldest.presumed[-1].at >= since and len(self.recent) <= MAX_ENTRIES:
                break
            self.recent.popitem(last=False)
        while self.written_at and next(iter(self.written_at.values())) < since:
            self.written_at.popitem(last=False)

    def consider(self, suspicion: Suspicion) -> None:
        """Have a row written if two independent crashes would be enough to persist a suspicion."""
        fingerprint, now = suspicion.fingerprint, self.clock.now()
        known = self.quarantine.suspicions.get(fingerprint, Suspicion(fingerprint))
        presumed = replace(suspicion, crashes=suspicion.presumed, presumed=())
        likely = known.merged(presumed)
        if known.is_persisted or not likely.is_persisted:
            return
        if now - self.written_at.get(fingerprint, NEVER) < WRITE_INTERVAL_MS:
            return
        if fingerprint not in self.written_at and len(self.written_at) >= MAX_WRITTEN:
            return
        confirmed = {one.server for one in known.crashes}
        left = tuple(one for one in likely.crashes if one.server not in confirmed)
        log_message(
            "crashes-presumed",
            fingerprint=fingerprint,
            service=suspicion.service,
            crashed=sorted(confirmed),
            servers=[one.server for one in left],
            ran_ms=[round(one.ran_ms) for one in left],
            ages_ms=[round(now - one.at) for one in left],
        )
        self.quarantine.metrics.count(Metric.PRESUMED_ROWS)
        self.written_at[fingerprint] = now
        self.written_at.move_to_end(fingerprint)
        self.on_write(Suspicion(fingerprint, suspicion.service, known.crashes, presumed=left))
        self.exchange.broadcast([suspicion], "")
        if fingerprint not in self.rows:
            self.rows.add(fingerprint)
            self.clock.call_later(WRITE_INTERVAL_MS, lambda: self.settle(fingerprint))

    def settle(self, fingerprint: str) -> None:
        """Replace a presumed row by the confirmed suspicion, or delete it, once that is known."""
        if fingerprint not in self.rows:
            return
        now, recent = self.clock.now(), self.recent.get(fingerprint)
        left_ms = recent.presumed[-1].at + LISTING_DELAY_MS - now if recent else 0.0
        if left_ms > 0.0:
            self.clock.call_later(left_ms, lambda: self.settle(fingerprint))
            return
        self.rows.discard(fingerprint)
        known = self.quarantine.suspicions.get(fingerprint)
        confirmed = known is not None and known.is_persisted
        log_message("presumed-row-settled", fingerprint=fingerprint, confirmed=confirmed)
        if confirmed:
            self.on_write(known)
        else:
            self.on_remove(fingerprint)

    def clear(self, fingerprint: str) -> None:
        """Forget the broken connections of a request that was cleared, and its row."""
        self.recent.pop(fingerprint, None)
        if fingerprint in self.rows:
            self.rows.discard(fingerprint)
            log_message("presumed-row-settled", fingerprint=fingerprint, confirmed=False)
            self.on_remove(fingerprint)
