# trackedattempt.py -- An attempt at a request that is tracked by the quarantine
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""An attempt at a request that is tracked by the quarantine."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from contextlib import AbstractContextManager
from typing import TYPE_CHECKING

import gevent

from mountladder.code import Code
from mountladder.configuration.backendserver import BackendServer
from mountladder.errors import StageError
from mountladder.quarantine.crashdetector import BREAK_WINDOW_MS
from mountladder.quarantine.fingerprint import stage_fingerprint
from mountladder.quarantine.interruption import Interruption

if TYPE_CHECKING:
    from mountladder.quarantine.quarantineservice import QuarantineService


class TrackedAttempt:
    """One attempt at a request, or at a stage of it, that is tracked by the quarantine.

    Args:
        fingerprint: The hash that all attempts at the same request share.
        request: The id of this attempt.
        service: The quarantine of this instance.
        parts: The fingerprints of the parts of its prompt that other requests may share.
    """

    def __init__(
        self,
        fingerprint: str,
        request: str,
        service: QuarantineService,
        parts: tuple[str, ...] = (),
    ) -> None:
        self.fingerprint = fingerprint
        self.request = request
        self.service = service
        self.quarantine = service.registry
        self.clock = service.clock
        self.parts = parts

    def of_stage(self, name: str) -> TrackedAttempt:
        """Return the same attempt at one stage, or at the pieces of one stage service."""
        digest = stage_fingerprint(self.fingerprint, name)
        return TrackedAttempt(digest, self.request, self.service)

    def check(self, stages: Iterable[str]) -> None:
        """Refuse the request if it, a part of it, or its pieces at one of its stages, is barred.

        Args:
            stages: The names of its stages.

        Raises:
            RefusalError: The request is barred.
        """
        self.service.parts.check(self.parts, self.request)
        if not self.quarantine.suspicions:
            return
        self.quarantine.check(self.fingerprint, self.request)
        for name in stages:
            self.quarantine.check(stage_fingerprint(self.fingerprint, name), self.request)

    def admit(self, remaining_ms: float) -> None:
        """Wait until the request may be sent to a server; see the admit of both registries.

        Raises:
            RefusalError: The request, or a part of it, is barred.
        """
        until = self.clock.now() + remaining_ms
        self.quarantine.admit(self.fingerprint, self.request, remaining_ms)
        self.service.parts.admit(self.parts, self.request, until - self.clock.now())

    def check_again(self) -> None:
        """Refuse an admitted request if it, or a part of it, was barred meanwhile.

        Raises:
            RefusalError: It was.
        """
        self.service.parts.check(self.parts, self.request, admitted=True)
        self.quarantine.check(self.fingerprint, self.request)

    def is_barred(self) -> bool:
        """Return whether the request, or a part of it, is barred."""
        is_part_barred = self.service.parts.refusal(self.parts) is not None
        return is_part_barred or self.quarantine.is_barred(self.fingerprint)

    def ended_if_barred(self, end: Callable[[], None]) -> AbstractContextManager[None]:
        """Call a function in the returned context as soon as the request is barred."""
        return self.service.ended_if_barred(self, end)

    def failed(
        self, server: BackendServer, started: float, error: StageError, begun_ms: float = 0.0
    ) -> None:
        """Find out whether a server has crashed, if the connection to it broke.

        Args:
            server: The server.
            started: When the request was sent there, in the clock's milliseconds.
            error: How the attempt failed.
            begun_ms: For how long the server had been answering; 0 if it had not begun to.
        """
        if connection_broke(error):
            self.service.detector.investigate(server, (self.interruption(started, begun_ms),))

    def ended(self, server: BackendServer, started: float, begun_ms: float) -> None:
        """Record an answer that ended with its connection, as it also does in a crash.

        It counts as complete unless the server turns out to have crashed at that time.

        Args:
            server: The server.
            started: When the request was sent there, in the clock's milliseconds.
            begun_ms: For how long the server had been answering.
        """
        lost = self.interruption(started, begun_ms)
        gevent.spawn(self.settle, server, lost)

    def settle(self, server: BackendServer, lost: Interruption) -> None:
        """Decide whether an answer that ended with its connection was complete."""
        self.clock.sleep(BREAK_WINDOW_MS)
        detector = self.service.detector
        incarnation = detector.listing.incarnation_name(server, lost.at)
        if incarnation in self.quarantine.server_crashes:
            detector.report(server, incarnation, (lost,))
        elif not (self.is_suspect() and detector.has_ended(server, lost)):
            self.answered()

    def is_suspect(self) -> bool:
        """Return whether servers crashed under the request, or under a part of it."""
        parts = self.service.parts
        return self.quarantine.is_suspect(self.fingerprint) or any(parts.known(self.parts))

    def interruption(self, started: float, begun_ms: float) -> Interruption:
        """Return the record of a connection to a server that ends now."""
        now = self.clock.now()
        return Interruption(
            self.fingerprint,
            self.request,
            now - started,
            now,
            begun_ms=begun_ms,
            parts=self.parts,
        )

    def answered(self) -> None:
        """Record that the request was answered completely, and with it all parts of it."""
        self.quarantine.record_answer(self.fingerprint)
        self.service.parts.record_answer(*self.parts)


def connection_broke(error: StageError) -> bool:
    """Return whether a connection broke after the request may have reached the server."""
    return error.code is Code.STREAM_CUT and error.dispatched
