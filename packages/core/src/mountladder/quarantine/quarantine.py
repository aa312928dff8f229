# quarantine.py -- Bars requests that repeatedly crash the servers which run them
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Bars requests that repeatedly crash the servers which run them."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Sequence

from eliot import log_message

from mountladder.clocks.clock import Clock
from mountladder.code import Code
from mountladder.errors import RefusalError
from mountladder.metrics.metric import Metric
from mountladder.metrics.metrics import Metrics
from mountladder.quarantine.barpolicy import MIN_BAR_CRASHES, should_bar
from mountladder.quarantine.interruption import Interruption
from mountladder.quarantine.suspectkind import SuspectKind
from mountladder.quarantine.suspicion import MAX_WAIT_MS, NEVER, Suspicion
from mountladder.quarantine.suspicionregistry import (
    MAX_ENTRIES,
    MAX_SUSPECTS,
    SuspicionRegistry,
)

# A request that was answered completely within this time before a crash is not suspected of it.
ANSWER_CLEARS_MS = 60_000.0
# A crash that a peer reports takes the server out of use only this long; after that the server may
# have been restarted.
RECENT_CRASH_MS = 1_000.0


class Quarantine(SuspicionRegistry):
    """Tracks which requests were in flight when servers crashed; see SuspicionRegistry.

    Args:
        clock: The clock.
        metrics: Receives the numbers of suspects and barred requests.

    Attributes:
        server_crashes: The times of recent crashes in the fleet, by the server's name.
        on_server_crashed: Called with the name of a server that has just crashed.
    """

    kind = SuspectKind.REQUEST
    barred_metric = Metric.QUARANTINED
    suspected_metric = Metric.SUSPECTED
    # About a minute of complete answers of an instance of a large fleet, at about 19 a second.
    max_answered = 1_200

    def __init__(self, clock: Clock, metrics: Metrics) -> None:
        super().__init__(clock, metrics)
        self.server_crashes: OrderedDict[str, float] = OrderedDict()
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

    def handle_crash(self, server: str, service: str, lost: Sequence[Interruption]) -> None:
        """Handle the crash of a server; see SuspicionRegistry."""
        if self.record_crash(server, self.clock.now()):
            self.metrics.count(Metric.SERVER_ENDS)
            self.on_server_crashed(server)
        super().handle_crash(server, service, lost)

    def suspects(self, lost: Sequence[Interruption]) -> list[tuple[str, Interruption]]:
        """Return the requests that are suspected of a crash; see SuspicionRegistry."""
        suspects = [one for one in lost if not self.was_answered(one.fingerprint, one.at)]
        suspects = sorted(suspects, key=lambda one: one.ran_ms)[:MAX_SUSPECTS]
        return [(one.fingerprint, one) for one in suspects]

    def was_answered(self, fingerprint: str, at: float) -> bool:
        """Return whether a request was answered completely here, shortly before a time or later."""
        return self.answered.get(fingerprint, NEVER) > at - ANSWER_CLEARS_MS

    def should_bar(self, suspicion: Suspicion) -> bool:
        """Return whether a request is to be barred; see barpolicy."""
        return should_bar(suspicion, self.server_crashes)

    def record_crash(self, server: str, at: float) -> bool:
        """Record when a server crashed; return whether the crash was not known yet."""
        if server in self.server_crashes:
            return False
        self.server_crashes[server] = at
        while len(self.server_crashes) > MAX_ENTRIES:
            self.server_crashes.popitem(last=False)
        return True

    def record_remote_crashes(self, received: Suspicion) -> None:
        """Record the crashes of a suspicion that another instance observed."""
        now = self.clock.now()
        for one in received.crashes:
            if self.record_crash(one.server, one.at) and now - one.at <= RECENT_CRASH_MS:
                self.on_server_crashed(one.server)
