# case.py -- One attempt at a request, as the quarantine sees it
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""One attempt at a request, as the quarantine sees it."""

from __future__ import annotations

from collections.abc import Iterable

from mountladder.clocks.clock import Clock
from mountladder.code import Code
from mountladder.configuration.backendserver import BackendServer
from mountladder.errors import StageError
from mountladder.quarantine.fingerprint import stage_fingerprint
from mountladder.quarantine.interruption import Interruption
from mountladder.quarantine.quarantine import Quarantine
from mountladder.quarantine.serverends import ServerEnds


class Case:
    """One attempt at a request, or at a stage of it, as the quarantine sees it.

    Args:
        fingerprint: What all attempts at it have in common.
        request: The id of this attempt.
        quarantine: What is known of it.
        ends: Tells whether a server has ended when a connection to it breaks.
        clock: The clock.
    """

    def __init__(
        self,
        fingerprint: str,
        request: str,
        quarantine: Quarantine,
        ends: ServerEnds,
        clock: Clock,
    ) -> None:
        self.fingerprint = fingerprint
        self.request = request
        self.quarantine = quarantine
        self.ends = ends
        self.clock = clock

    def of_stage(self, name: str) -> Case:
        """Return the same attempt at one stage, or at the pieces of one stage service."""
        mark = stage_fingerprint(self.fingerprint, name)
        return Case(mark, self.request, self.quarantine, self.ends, self.clock)

    def check(self, stages: Iterable[str]) -> None:
        """Refuse a request at once under which, or under one of whose stages, servers end.

        Raises:
            RefusalError: It is barred.
        """
        if not self.quarantine.known:
            return
        self.quarantine.check(self.fingerprint, self.request)
        for name in stages:
            self.quarantine.check(stage_fingerprint(self.fingerprint, name), self.request)

    def admit(self, left_ms: float) -> None:
        """Let it go to a server; see Quarantine.

        Raises:
            RefusalError: It is barred.
        """
        self.quarantine.admit(self.fingerprint, self.request, left_ms)

    def failed(self, server: BackendServer, started: float, error: StageError) -> None:
        """Find out whether a server has ended where the connection to it broke.

        Args:
            server: The server.
            started: When it was sent there, in the clock's milliseconds.
            error: How the sending failed.
        """
        if broke(error):
            now = self.clock.now()
            lost = Interruption(self.fingerprint, self.request, now - started, now)
            self.ends.broke(server, (lost,))

    def answered(self) -> None:
        """Record that it was answered whole."""
        self.quarantine.answer(self.fingerprint)


def broke(error: StageError) -> bool:
    """Tell whether a connection broke while a server may have been at work for it."""
    return error.code is Code.STREAM_CUT and error.dispatched
