# suspicionregistry.py -- The suspects of one kind, and which of them are barred
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The suspects of one kind, and which of them are barred."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import OrderedDict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import replace

from eliot import log_message
from gevent.event import Event

from mountladder.clocks.clock import Clock
from mountladder.metrics.metric import Metric
from mountladder.metrics.metrics import Metrics
from mountladder.quarantine.interruption import Interruption
from mountladder.quarantine.servercrash import ServerCrash
from mountladder.quarantine.suspectkind import SuspectKind
from mountladder.quarantine.suspicion import Suspicion

# Max. number of requests that are suspected of one crash; those that the server had for the
# shortest time come first.
MAX_SUSPECTS = 64
# An entry takes about 450 bytes; beyond this number the oldest suspects are evicted.
MAX_ENTRIES = 1_024


class SuspicionRegistry(ABC):
    """Tracks what was in flight when servers crashed, and bars what is responsible.

    A crash interrupts all that the server has in flight, most of which did not cause it. All of it
    becomes suspect. A suspect that is answered completely is cleared; one with repeated independent
    crashes is barred: it is refused for a time, which grows with each further bar.

    Args:
        clock: The clock.
        metrics: Receives the numbers of suspects and bars.

    Attributes:
        suspicions: The suspicions, by fingerprint.
        barred: Those that were barred and not cleared since, their bars expired or not.
        answered: When requests were last answered completely, by fingerprint, the latest last.
        on_update: Called with changed suspicions and the name of the peer that sent them (an empty
            string for changes made here).
        on_barred: Called with each newly barred suspicion, whether decided here or elsewhere, and
            whether this instance observed the last crash itself.
        on_persist: Called with each suspicion that is to be persisted but not barred, if this
            instance observed its last crash.
        on_cleared: Called with the fingerprint of each persisted suspicion that is cleared here.
        on_answered: Called with the fingerprint of each request that is answered completely here.
        on_bars_applied: Called when suspects have been barred.
    """

    # What the suspects are.
    kind: SuspectKind
    # The metrics with the numbers of bars and of suspects.
    barred_metric: Metric
    suspected_metric: Metric
    # How many complete answers are remembered.
    max_answered: int

    def __init__(self, clock: Clock, metrics: Metrics) -> None:
        self.clock = clock
        self.metrics = metrics
        self.suspicions: dict[str, Suspicion] = {}
        self.barred: tuple[Suspicion, ...] = ()
        self.answered: OrderedDict[str, float] = OrderedDict()
        self.changed = Event()
        self.on_update: Callable[[Sequence[Suspicion], str], None] = lambda updates, source: None
        self.on_barred: Callable[[Suspicion, bool], None] = lambda suspicion, seen_here: None
        self.on_persist: Callable[[Suspicion], None] = lambda suspicion: None
        self.on_cleared: Callable[[str], None] = lambda fingerprint: None
        self.on_answered: Callable[[str], None] = lambda fingerprint: None
        self.on_bars_applied: Callable[[], None] = lambda: None

    @abstractmethod
    def suspects(self, lost: Sequence[Interruption]) -> list[tuple[str, Interruption]]:
        """Return the fingerprints that are suspected of a crash, and how each was interrupted.

        Args:
            lost: The requests that the server had in flight.
        """

    @abstractmethod
    def was_answered(self, fingerprint: str, at: float) -> bool:
        """Return whether an answer here shows that a suspect did not cause a crash."""

    @abstractmethod
    def should_bar(self, suspicion: Suspicion) -> bool:
        """Return whether a suspect is to be barred after a further crash."""

    @abstractmethod
    def record_remote_crashes(self, received: Suspicion) -> None:
        """Record the crashes of a suspicion that another instance observed."""

    def crash(self, server: str, lost: Interruption) -> ServerCrash:
        """Return the record of the crash of a server that had a request in flight."""
        return ServerCrash(server, lost.ran_ms, lost.at, lost.alone)

    def of(self, fingerprint: str) -> Suspicion:
        """Return what is known of a fingerprint, which may be nothing."""
        return self.suspicions.get(fingerprint) or Suspicion(fingerprint, kind=self.kind)

    def is_barred(self, fingerprint: str) -> bool:
        """Return whether a suspect is barred at present."""
        known = self.suspicions.get(fingerprint)
        return known is not None and known.barred_until > self.clock.now()

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether servers crashed under a suspect that was not cleared since."""
        known = self.suspicions.get(fingerprint)
        return known is not None and known.is_suspect

    def record_sent(self, fingerprint: str, request: str) -> None:
        """Record and announce that a suspect is sent to a server; ignore what is none."""
        known = self.suspicions.get(fingerprint)
        if known is None or not known.is_suspect:
            return
        crashed = [one.server for one in known.crashes]
        log_message(
            "suspect-sent",
            kind=self.kind.noun,
            request=request,
            fingerprint=fingerprint,
            servers=crashed,
        )
        self.publish([replace(known, sent_at=self.clock.now())], "")

    def handle_crash(self, server: str, service: str, lost: Sequence[Interruption]) -> None:
        """Handle the crash of a server that had requests of this instance in flight.

        Args:
            server: The name of the crashed incarnation of the server.
            service: The service it ran.
            lost: The requests that it had in flight.
        """
        suspects = self.suspects(lost)
        found = []
        for fingerprint, one in suspects:
            known = self.of(fingerprint)
            seen = Suspicion(fingerprint, service, (self.crash(server, one),))
            # Another instance may have told of the crash, or of an answer since.
            if known.lacks_outcome(seen):
                found.append(known.merged(seen))
        requests = {one.request for _, one in suspects}
        log_message(
            f"{self.kind.noun}s-suspected",
            server=server,
            requests=sorted(requests),
            fingerprints={one.fingerprint: len(one.crashes) for one in found},
            not_suspected=len({one.request for one in lost} - requests),
        )
        evaluated = [self.evaluate(one, seen_here=True) for one in found]
        self.publish(evaluated, "")
        for one in evaluated:
            if one.is_persisted and not one.bars:
                self.on_persist(one)

    def evaluate(self, suspicion: Suspicion, seen_here: bool) -> Suspicion:
        """Return a suspicion after a further crash, barred if the crashes suffice for that."""
        now = self.clock.now()
        if suspicion.barred_until > now or not self.should_bar(suspicion):
            return suspicion
        barred = replace(suspicion, bars=suspicion.bars + 1, barred_at=now)
        log_message(
            f"{self.kind.noun}-barred",
            fingerprint=barred.fingerprint,
            service=barred.service,
            servers=[one.server for one in barred.crashes],
            ran_ms=[round(one.ran_ms) for one in barred.crashes],
            bars=barred.bars,
            for_ms=round(barred.barred_until - now),
        )
        self.on_barred(barred, seen_here)
        return barred

    def record_answer(self, *fingerprints: str) -> None:
        """Record a complete answer, which clears suspects of earlier crashes."""
        now = self.clock.now()
        for fingerprint in fingerprints:
            self.answered[fingerprint] = now
            self.answered.move_to_end(fingerprint)
            if len(self.answered) > self.max_answered:
                self.answered.popitem(last=False)
            self.on_answered(fingerprint)
        suspects = [one for one in fingerprints if self.is_suspect(one)]
        if suspects:
            self.clear(suspects, "it was answered completely")

    def clear(self, fingerprints: Sequence[str], reason: str) -> None:
        """Clear suspects and announce that."""
        now = self.clock.now()
        all_known = [self.suspicions[fingerprint] for fingerprint in fingerprints]
        for known in all_known:
            log_message(
                "suspect-cleared",
                kind=self.kind.noun,
                fingerprint=known.fingerprint,
                servers=[one.server for one in known.crashes],
                bars=known.bars,
                reason=reason,
            )
        self.publish(
            [one.merged(Suspicion(one.fingerprint, cleared_at=now)) for one in all_known], ""
        )
        for known in all_known:
            if known.is_persisted:
                self.on_cleared(known.fingerprint)

    def lift(self, fingerprint: str) -> bool:
        """Clear a suspect for an operator; return whether it was one."""
        if not self.is_suspect(fingerprint):
            return False
        self.clear([fingerprint], "an operator cleared it")
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
            if self.of(one.fingerprint).lacks_outcome(one):
                self.record_remote_crashes(one)
        for one in received:
            known = self.of(one.fingerprint)
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

    def publish(self, updates: Sequence[Suspicion], source: str) -> None:
        """Store changed suspicions and announce them to other instances."""
        if updates:
            self.apply(updates)
            self.on_update(updates, source)

    def apply(self, updates: Sequence[Suspicion]) -> None:
        """Store changed suspicions and wake the requests that wait for one."""
        is_barring = any(one.bars > self.of(one.fingerprint).bars for one in updates)
        self.suspicions.update({one.fingerprint: one for one in updates})
        self.evict()
        self.changed.set()
        self.changed = Event()
        now = self.clock.now()
        self.barred = tuple(one for one in self.suspicions.values() if one.bars)
        self.metrics.gauge(self.barred_metric, sum(one.barred_until > now for one in self.barred))
        suspects = sum(one.is_suspect for one in self.suspicions.values())
        self.metrics.gauge(self.suspected_metric, suspects)
        if is_barring:
            self.on_bars_applied()

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
        log_message(
            "suspects-evicted",
            kind=self.kind.noun,
            entries=over,
            barred=sum(one.bars > 0 for one in oldest),
        )
