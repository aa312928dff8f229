# partquarantine.py -- Bars prompt parts that repeatedly crash the servers which answer them
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Bars prompt parts that repeatedly crash the servers which answer them."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterator, Sequence

from eliot import log_message

from mountladder.clocks.clock import Clock
from mountladder.code import Code
from mountladder.errors import RefusalError
from mountladder.metrics.metric import Metric
from mountladder.metrics.metrics import Metrics
from mountladder.quarantine.fingerprint import abbreviated
from mountladder.quarantine.interruption import Interruption
from mountladder.quarantine.quarantine import Quarantine
from mountladder.quarantine.servercrash import ServerCrash
from mountladder.quarantine.suspectkind import SuspectKind
from mountladder.quarantine.suspicion import MAX_WAIT_MS, NEVER, SAME_SEND_MS, Suspicion
from mountladder.quarantine.suspicionregistry import MAX_SUSPECTS, SuspicionRegistry

# A server that crashes under a part does so as it begins to answer. A stream that has gone on for
# longer was merely cut off.
MAX_BEGUN_MS = 500.0
# A crash comes early if it does so before an answer has begun, or at most this long after.
EARLY_MS = 200.0
# Crashes without an answer in between that bar a part: early ones, or any. Late ones hit unaffected
# streams more often.
BAR_CRASHES = 3
BAR_ANY_CRASHES = 4
# So many more are needed if most servers that crashed meanwhile did so without the part. Where
# servers crash all the time, a part of few requests meets three crashes in a row by chance.
BAR_FURTHER_CRASHES = 2
MIN_CRASH_FRACTION = 0.5
# What a further crash under the same request counts.
REPEAT_WEIGHT = 0.5
# From so many crashes on, requests with a part are sent to servers one at a time.
SERIAL_CRASHES = 2
# A barred part whose crashes are explained by others but for fewer than this many is tried again.
TRIAL_CRASHES = 2
# How much later each further instance tries a part whose bar has expired: as long as others wait
# for the outcome.
TRIAL_TURN_MS = MAX_WAIT_MS
# The same for requests that waited for another one with the part: as long as it takes to tell that
# one is sent. In a large fleet few of the instances have one that waits.
SEND_TURN_MS = SAME_SEND_MS
MAX_TURNS = 8


class PartQuarantine(SuspicionRegistry):
    """Tracks the prompt parts of requests that were in flight when servers crashed.

    Requests that are all different may have a part in common that crashes servers. A part is
    suspect with each request that had not begun its answer, or just had, and any request with it
    that is answered completely clears it. Parts that are always together crash servers together;
    where they are not, the crashes of one are explained by the other: requests without that other
    one are let through, one at a time, until one of them is answered.

    Args:
        clock: The clock.
        metrics: Receives the numbers of suspect and barred parts.
        requests: The quarantine of requests, whose barred ones explain crashes under the parts of
            others, and which knows all crashes.

    Attributes:
        position: Returns how many instances come before this one in trying a part, by its
            fingerprint, so that one at a time does.
    """

    kind = SuspectKind.PART
    barred_metric = Metric.PARTS_QUARANTINED
    suspected_metric = Metric.PARTS_SUSPECTED
    # Some seconds of answers with 24 parts each, at about 19 a second.
    max_answered = 4_096

    def __init__(self, clock: Clock, metrics: Metrics, requests: Quarantine) -> None:
        super().__init__(clock, metrics)
        self.requests = requests
        self.position: Callable[[str], int] = lambda part: 0

    def refusal(
        self, parts: Sequence[str], admitted: bool = False
    ) -> tuple[Suspicion, float] | None:
        """Return the part for which a request is refused, and for how long in ms, or None."""
        barred = [one for one in self.known(parts) if one.bars]
        found = [(one, self.refused_ms(one, parts, admitted)) for one in barred]
        refused = [one for one in found if one[1] > 0]
        return max(refused, key=lambda one: one[1], default=None)

    def check(self, parts: Sequence[str], request: str, admitted: bool = False) -> None:
        """Refuse a request with a barred part.

        Args:
            parts: The fingerprints of the request's shared parts.
            request: The caller's id of this attempt.
            admitted: Whether it was admitted before, possibly to try a part whose bar has expired.

        Raises:
            RefusalError: A part is barred; `retry_after_ms` is the remaining time.
        """
        refusal = self.refusal(parts, admitted)
        if refusal is None:
            return
        known, remaining_ms = refusal
        log_message(
            "barred-part-refused",
            request=request,
            fingerprint=known.fingerprint,
            servers=[one.server for one in known.crashes],
            bars=known.bars,
            remaining_ms=round(remaining_ms),
        )
        detail = f"{len(known.crashes)} servers crashed while running requests with a part of it"
        raise RefusalError(detail, Code.QUARANTINED, retry_after_ms=remaining_ms)

    def admit(self, parts: Sequence[str], request: str, remaining_ms: float) -> None:
        """Admit a request to a server; requests with a suspect part are sent one at a time.

        Args:
            parts: The fingerprints of the request's shared parts.
            request: The caller's id of this attempt.
            remaining_ms: The maximum wait, in milliseconds.

        Raises:
            RefusalError: A part is barred.
        """
        if not self.suspicions:
            return
        until = self.clock.now() + min(MAX_WAIT_MS, remaining_ms)
        has_waited = False
        while True:
            self.check(parts, request)
            serial = [one for one in self.known(parts) if self.is_serial(one, parts)]
            wait_ms = max((one.wait_until() for one in serial), default=NEVER) - self.clock.now()
            wait_ms = min(wait_ms, until - self.clock.now())
            if wait_ms > 0:
                self.clock.wait(self.changed, wait_ms)
            elif has_waited and serial:
                # Requests at other instances were woken as well. The next one is sent only once it
                # is told of those before.
                self.clock.sleep(SEND_TURN_MS * min(MAX_TURNS, self.position(parts[0])))
            else:
                break
            has_waited = wait_ms > 0
        for one in serial:
            self.record_sent(one.fingerprint, request)

    def refused_ms(self, known: Suspicion, parts: Sequence[str], admitted: bool) -> float:
        """Return for how long a request with some parts is refused for a barred one of them."""
        now, until = self.clock.now(), known.barred_until
        if now < until:
            is_explained = _weight(self.unexplained(known, parts)) < TRIAL_CRASHES
            return 0.0 if is_explained else until - now
        if admitted:
            return 0.0
        # One request tries it, while the others are refused.
        turn_ms = TRIAL_TURN_MS * self.position(known.fingerprint)
        return max(until + turn_ms, known.wait_until()) - now

    def is_serial(self, known: Suspicion, parts: Sequence[str]) -> bool:
        """Return whether requests with some parts are sent one at a time for one of them."""
        return bool(known.bars) or _weight(self.unexplained(known, parts)) >= SERIAL_CRASHES

    def known(self, parts: Sequence[str]) -> Iterator[Suspicion]:
        """Yield the suspicions of those parts that are suspect."""
        for part in parts:
            known = self.suspicions.get(part)
            if known is not None and known.is_suspect:
                yield known

    def unexplained(self, suspicion: Suspicion, parts: Sequence[str]) -> tuple[ServerCrash, ...]:
        """Return the independent crashes under a part that nothing else barred explains.

        Args:
            suspicion: The suspicion of the part.
            parts: The parts of the same request, which explain nothing.
        """
        by_parts = self.crashed_under_parts({suspicion.fingerprint, *parts})
        crashes = suspicion.independent_crashes()
        left = [one for one in crashes if one.server not in by_parts]
        return tuple(one for one in left if not self.is_explained_by_other_request(one))

    def crashed_under_parts(self, but: Collection[str]) -> frozenset[str]:
        """Return the servers that crashed under barred parts, but for some."""
        barred = [one for one in self.barred if one.fingerprint not in but]
        return frozenset(crash.server for one in barred for crash in one.crashes)

    def is_explained_by_other_request(self, crash: ServerCrash) -> bool:
        """Return whether a server crashed under a barred request other than that of a part."""
        return any(
            crash.server == other.server
            for one in self.requests.barred
            if abbreviated(one.fingerprint) != crash.request
            for other in one.crashes
        )

    def suspects(self, lost: Sequence[Interruption]) -> list[tuple[str, Interruption]]:
        """Return the parts that are suspected of a crash; see SuspicionRegistry."""
        recent = [one for one in lost if one.begun_ms <= MAX_BEGUN_MS]
        found: dict[str, Interruption] = {}
        for one in sorted(recent, key=lambda one: (one.begun_ms > 0.0, one.ran_ms)):
            for part in one.parts:
                if not self.was_answered(part, one.at):
                    found.setdefault(part, one)
        return sorted(found.items(), key=lambda one: not self.is_suspect(one[0]))[:MAX_SUSPECTS]

    def crash(self, server: str, lost: Interruption) -> ServerCrash:
        """Return the record of the crash of a server; see SuspicionRegistry."""
        request, is_late = abbreviated(lost.fingerprint), lost.begun_ms > EARLY_MS
        return ServerCrash(server, lost.ran_ms, lost.at, lost.alone, is_late, request)

    def was_answered(self, fingerprint: str, at: float) -> bool:
        """Return whether a request with a part was answered completely here after a time."""
        return self.answered.get(fingerprint, NEVER) >= at

    def should_bar(self, suspicion: Suspicion) -> bool:
        """Return whether a part is to be barred after a further crash; see SuspicionRegistry."""
        if not suspicion.bars and len(suspicion.crashes) < BAR_CRASHES:
            return False
        crashes = self.unexplained(suspicion, ())
        if suspicion.bars:
            # A trial after its last bar crashed a server again.
            return any(one.at > suspicion.barred_until for one in crashes)
        further = 0 if self.is_at_many(suspicion) else BAR_FURTHER_CRASHES
        early = _weight([one for one in crashes if not one.late])
        return early >= BAR_CRASHES + further or _weight(crashes) >= BAR_ANY_CRASHES + further

    def is_at_many(self, suspicion: Suspicion) -> bool:
        """Return whether a part was at a fair share of the unexplained crashes since its first."""
        since = suspicion.crashes[0].at
        under = {one.server for one in suspicion.crashes}
        explained = self.crashed_under_parts({suspicion.fingerprint})
        all_ = self.requests.server_crashes.items()
        others = {name for name, at in all_ if at >= since} - explained - under
        return len(under) >= MIN_CRASH_FRACTION * (len(under) + len(others))

    def record_remote_crashes(self, received: Suspicion) -> None:
        """Do nothing, since the quarantine of requests records crashes; see SuspicionRegistry."""


def _weight(crashes: Sequence[ServerCrash]) -> float:
    """Return how many crashes count: a further one under the same request counts half.

    Where all are under one request, that one may be responsible, and they count once.
    """
    requests = len({one.request for one in crashes})
    return requests if requests <= 1 else requests + REPEAT_WEIGHT * (len(crashes) - requests)
