# quarantine.py -- Bars requests that repeatedly crash the servers which run them
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Bars requests that repeatedly crash the servers which run them."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import replace

from eliot import log_message
from gevent.event import Event

from mountladder.clocks.clock import Clock
from mountladder.code import Code
from mountladder.errors import RefusalError
from mountladder.metrics.metric import Metric
from mountladder.metrics.metrics import Metrics
from mountladder.quarantine.barpolicy import MIN_BAR_CRASHES, should_bar
from mountladder.quarantine.interruption import Interruption
from mountladder.quarantine.servercrash import ServerCrash
from mountladder.quarantine.suspicion import MAX_WAIT_MS, NEVER, Suspicion

# A request that was answered completely within this time before a crash is not suspected of it.
ANSWER_CLEARS_MS = 60_000.0
# About a minute of complete answers of an instance of a large fleet, at about 19 a second.
MAX_ANSWERED = 1_200
# Max. number of requests that are suspected of one crash; those that the server had for the
# shortest time come first.
MAX_SUSPECTS = 64
# An entry takes about 450 bytes; beyond this number the oldest suspects are evicted.
MAX_ENTRIES = 1_024
# A crash that a peer reports takes the server out of use only this long; after that the server may
# have been restarted.
RECENT_CRASH_MS = 1_000.0


class Quarantine:
    """Tracks which requests were in flight when servers crashed, and bars the responsible ones.

    A crash interrupts every request that the server has in flight, most of which did not cause it.
    All of them become suspects. A suspect that is answered completely is cleared; one with repeated
    independent crashes is barred: it is refused for a time, which grows with each further bar.

    Args:
        clock: The clock.
        metrics: Receives the numbers of suspects and barred requests.

    Attributes:
        suspicions: The suspicions, by fingerprint.
        answered: When requests were last answered completely, by fingerprint, the latest last.
        server_crashes: The times of recent crashes in the fleet, by the server's name.
        on_update: Called with changed suspicions and the name of the peer that sent them (an empty
            string for changes made here).
        on_barred: Called with each newly barred suspicion, whether decided here or elsewhere, and
            whether this instance observed the last crash itself.
        on_persist: Called with each suspicion that is to be persisted but not barred, if this
            instance observed its last crash.
        on_cleared: Called with the fingerprint of each persisted suspicion that is cleared here.
        on_answered: Called with the fingerprint of each request that is answered completely here.
        on_server_crashed: Called with the name of a server that has just crashed.
    """

    def __init__(self, clock: Clock, metrics: Metrics) -> None:
        self.clock = clock
        self.metrics = metrics
        self.suspicions: dict[str, Suspicion] = {}
        self.answered: OrderedDict[str, float] = OrderedDict()
        self.server_crashes: OrderedDict[str, float] = OrderedDict()
        self.changed = Event()
        self.on_update: Callable[[Sequence[Suspicion], str], None] = lambda updates, source: None
        self.on_barred: Callable[[Suspicion, bool], None] = lambda suspicion, seen_here: None
        self.on_persist: Callable[[Suspicion], None] = lambda suspicion: None
        self.on_cleared: Callable[[str], None] = lambda fingerprint: None
        self.on_answered: Callable[[str], None] = lambda fingerprint: None
        self.on_server_crashed: Callable[[str], None] = lambda server: None

    def check(self, fingerprint: str, request: str) -> None:
        """Refuse a request that is barred.

        Raises:
            RefusalError: The request is barred; `retry_after_ms` is the remaining time.
        """
        known = self.suspicions.get(fingerprint)
        remaining_ms = known.barred_until - self.clock.now() if known else NEVER
        if remaining_ms <= 0:
            return
        log_message(
            "barred-request-refused",
            request=request,
            fingerprint=fingerprint,
            servers=[one.server for one in known.crashes],
            bars=known.bars,
            remaining_ms=round(remaining_ms),
        )
        detail = f"{len(known.crashes)} servers crashed while running it"
        raise RefusalError(detail, Code.QUARANTINED, retry_after_ms=remaining_ms)

    def is_barred(self, fingerprint: str) -> bool:
        """Return whether a request is barred at present."""
        known = self.suspicions.get(fingerprint)
        return known is not None and known.barred_until > self.clock.now()

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether servers crashed under a request that was not cleared since."""
        known = self.suspicions.get(fingerprint)
        return known is not None and known.is_suspect

    def needs_own_call(self, fingerprint: str) -> bool:
        """Return whether a request's pieces must not share a call with those of others."""
        known = self.suspicions.get(fingerprint)
        return known is not None and len(known.crashes) >= MIN_BAR_CRASHES

    def wait_ms(self, fingerprint: str) -> float:
        """Return how much longer to wait for a copy of a suspect that is in flight, in ms."""
        known = self.suspicions.get(fingerprint)
        return max(0.0, known.wait_until() - self.clock.now()) if known else 0.0

    def admit(self, fingerprint: str, request: str, remaining_ms: float) -> None:
        """Admit a request to a server; a suspect waits while another copy of it is in flight.

        Args:
            fingerprint: The hash that all attempts at the same request share.
            request: The caller's id of this attempt.
            remaining_ms: The maximum wait, in milliseconds.

        Raises:
            RefusalError: The request is barred.
        """
        until = self.clock.now() + min(MAX_WAIT_MS, remaining_ms)
        while True:
            self.check(fingerprint, request)
            wait_ms = min(self.wait_ms(fingerprint), until - self.clock.now())
            if wait_ms <= 0:
                break
            self.clock.wait(self.changed, wait_ms)
        self.record_sent(fingerprint, request)

    def record_sent(self, fingerprint: str, request: str) -> None:
        """Record and announce that a suspect is sent to a server; ignore other requests."""
        known = self.suspicions.get(fingerprint)
        if known is None or not known.is_suspect:
            return
        crashed = [one.server for one in known.crashes]
        log_message("suspect-sent", request=request, fingerprint=fingerprint, servers=crashed)
        self.publish([replace(known, sent_at=self.clock.now())], "")

    def handle_crash(self, server: str, service: str, lost: Sequence[Interruption]) -> None:
        """Handle the crash of a server that had requests of this instance in flight.

        Args:
            server: The name of the crashed incarnation of the server.
            service: The service it ran.
            lost: The requests that it had in flight.
        """
        now = self.clock.now()
        if self.record_crash(server, now):
            self.metrics.count(Metric.SERVER_ENDS)
            self.on_server_crashed(server)
        suspects = [one for one in lost if not self.was_answered(one.fingerprint, one.at)]
        suspects = sorted(suspects, key=lambda one: one.ran_ms)[:MAX_SUSPECTS]
        found = []
        for one in suspects:
            crash = ServerCrash(server, one.ran_ms, one.at, one.alone)
            known = self.suspicions.get(one.fingerprint) or Suspicion(one.fingerprint)
            found.append(known.merged(Suspicion(one.fingerprint, service, (crash,))))
        log_message(
            "requests-suspected",
            server=server,
            requests=sorted({one.request for one in suspects}),
            fingerprints={one.fingerprint: len(one.crashes) for one in found},
            not_suspected=len(lost) - len(suspects),
        )
        evaluated = [self.evaluate(one, seen_here=True) for one in found]
        self.publish(evaluated, "")
        for one in evaluated:
            if one.is_persisted and not one.bars:
                self.on_persist(one)

    def was_answered(self, fingerprint: str, at: float) -> bool:
        """Return whether a request was answered completely here, shortly before a time or later."""
        return self.answered.get(fingerprint, NEVER) > at - ANSWER_CLEARS_MS

    def evaluate(self, suspicion: Suspicion, seen_here: bool) -> Suspicion:
        """Return a suspicion after a further crash, barred if the crashes suffice for that."""
        now = self.clock.now()
        if suspicion.barred_until > now or not should_bar(suspicion, self.server_crashes):
            return suspicion
        barred = replace(suspicion, bars=suspicion.bars + 1, barred_at=now)
        log_message(
            "request-barred",
            fingerprint=barred.fingerprint,
            service=barred.service,
            servers=[one.server for one in barred.crashes],
            ran_ms=[round(one.ran_ms) for one in barred.crashes],
            bars=barred.bars,
            for_ms=round(barred.barred_until - now),
        )
        self.on_barred(barred, seen_here)
        return barred

    def record_crash(self, server: str, at: float) -> bool:
        """Record when a server crashed; return whether the crash was not known yet."""
        if server in self.server_crashes:
            return False
        self.server_crashes[server] = at
        while len(self.server_crashes) > MAX_ENTRIES:
            self.server_crashes.popitem(last=False)
        return True

    def record_answer(self, fingerprint: str) -> None:
        """Record that a request was answered completely, which clears it of earlier crashes."""
        self.answered[fingerprint] = self.clock.now()
        self.answered.move_to_end(fingerprint)
        if len(self.answered) > MAX_ANSWERED:
            self.answered.popitem(last=False)
        self.on_answered(fingerprint)
        if self.is_suspect(fingerprint):
            self.clear(fingerprint, "it was answered completely")

    def clear(self, fingerprint: str, reason: str) -> None:
        """Clear a suspect and announce that."""
        known = self.suspicions[fingerprint]
        log_message(
            "suspect-cleared",
            fingerprint=fingerprint,
            servers=[one.server for one in known.crashes],
            bars=known.bars,
            reason=reason,
        )
        now = self.clock.now()
        self.publish([known.merged(Suspicion(fingerprint, cleared_at=now))], "")
        if known.is_persisted:
            self.on_cleared(fingerprint)

    def lift(self, fingerprint: str) -> bool:
        """Clear a suspect for an operator; return whether the request was a suspect."""
        if not self.is_suspect(fingerprint):
            return False
        self.clear(fingerprint, "an operator cleared it")
        return True

    def merge(self, received: Iterable[Suspicion], source: str) -> None:
        """Merge suspicions from a peer or the store, and announce changed outcomes to others.

        Args:
            received: The suspicions, with times of this instance's clock.
            source: The name of the peer, or the store.
        """
        now = self.clock.now()
        updates: list[Suspicion] = []
        answers: list[Suspicion] = []
        received = list(received)
        # All crashes are recorded first, so that none of them looks isolated.
        for one in received:
            if self.suspicions.get(one.fingerprint, Suspicion(one.fingerprint)).lacks_outcome(one):
                self.record_remote_crashes(one)
        for one in received:
            known = self.suspicions.get(one.fingerprint, Suspicion(one.fingerprint))
            if not known.lacks_outcome(one):
                if known.lacks(one):
                    self.apply([known.merged(one)])
                continue
            merged = known.merged(one)
            if merged.bars > known.bars:
                self.on_barred(merged, False)
            if merged.is_suspect and self.was_answered(one.fingerprint, merged.crashes[-1].at):
                answers.append(merged.merged(Suspicion(one.fingerprint, cleared_at=now)))
                continue
            updates.append(self.evaluate(merged, seen_here=False) if merged.is_suspect else merged)
        if updates:
            self.publish(updates, source)
        if answers:
            self.publish(answers, "")

    def record_remote_crashes(self, received: Suspicion) -> None:
        """Record the crashes of a suspicion that another instance observed."""
        now = self.clock.now()
        for one in received.crashes:
            if self.record_crash(one.server, one.at) and now - one.at <= RECENT_CRASH_MS:
                self.on_server_crashed(one.server)

    def publish(self, updates: Sequence[Suspicion], source: str) -> None:
        """Store changed suspicions and announce them to other instances."""
        if updates:
            self.apply(updates)
            self.on_update(updates, source)

    def apply(self, updates: Sequence[Suspicion]) -> None:
        """Store changed suspicions and wake the requests that wait for one."""
        self.suspicions.update({one.fingerprint: one for one in updates})
        self.evict()
        self.changed.set()
        self.changed = Event()
        now = self.clock.now()
        barred = sum(one.barred_until > now for one in self.suspicions.values())
        self.metrics.gauge(Metric.QUARANTINED, barred)
        self.metrics.gauge(
            Metric.SUSPECTED, sum(one.is_suspect for one in self.suspicions.values())
        )

    def evict(self) -> None:
        """Drop expired suspicions, and evict the oldest suspects if there are too many."""
        now = self.clock.now()
        for fingerprint, one in list(self.suspicions.items()):
            if now > one.expires_at:
                del self.suspicions[fingerprint]
        over = len(self.suspicions) - MAX_ENTRIES
        if over <= 0:
            return
        oldest = sorted(self.suspicions.values(), key=lambda one: (one.bars > 0, one.changed_at))[
            :over
        ]
        for one in oldest:
            del self.suspicions[one.fingerprint]
        self.metrics.count(Metric.SUSPECTS_EVICTED, number=over)
        log_message("suspects-evicted", entries=over, barred=sum(one.bars > 0 for one in oldest))
