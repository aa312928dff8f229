# watchedupstream.py -- Reports to the isolation detector whether servers answer calls
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Reports to the isolation detector whether servers answer calls."""

from __future__ import annotations

import math
from collections.abc import Iterator, Sequence
from contextlib import contextmanager

from mountladder.code import Code
from mountladder.configuration.backendserver import BackendServer
from mountladder.errors import StageError
from mountladder.forwarding.forwardcall import ForwardCall
from mountladder.forwarding.piece import Piece
from mountladder.forwarding.pieceresult import PieceResult
from mountladder.forwarding.upstream import Upstream
from mountladder.forwarding.upstreamanswer import UpstreamAnswer
from mountladder.isolation.isolationdetector import IsolationDetector
from mountladder.notices.notice import NoticeHandler

# Failures on an open connection after which it is unknown whether the server can be reached.
UNANSWERED_CODES = frozenset({Code.STAGE_STALLED, Code.STREAM_CUT})


class WatchedUpstream(Upstream):
    """Passes calls on to another upstream and reports which of them were answered.

    Args:
        inner: Makes the calls.
        detector: Is told of answers and failures.
    """

    def __init__(self, inner: Upstream, detector: IsolationDetector) -> None:
        self.inner = inner
        self.detector = detector

    @contextmanager
    def watch(self) -> Iterator[None]:
        """Report whether the call in the block was answered.

        A failed connection is a sign of a partition also if another server has answered meanwhile:
        connections that were open before may still work.
        """
        began = self.detector.clock.now()
        try:
            yield
        except StageError as error:
            if error.code is Code.CONNECT_FAILED:
                self.detector.record_failure()
            elif error.code not in UNANSWERED_CODES:
                self.detector.record_answer()
            else:
                self.detector.record_unanswered(began)
            raise
        self.detector.record_answer()

    def open(self, server: BackendServer, call: ForwardCall, limit_ms: float) -> UpstreamAnswer:
        """Send a request and return the answer once its head has arrived; see Upstream."""
        with self.watch():
            return self.inner.open(server, call, limit_ms)

    def run_pieces(
        self,
        server: BackendServer,
        pieces: Sequence[Piece],
        limit_ms: float,
        on_notices: NoticeHandler,
    ) -> tuple[PieceResult, ...]:
        """Have a server run pieces and return the results; see Upstream."""
        with self.watch():
            return self.inner.run_pieces(server, pieces, limit_ms, on_notices)

    def refuses(self, server: BackendServer, limit_ms: float = math.inf) -> bool:
        """Return whether connections to a server are refused; see Upstream.

        That shows no crash while other servers cannot be reached either.
        """
        return self.inner.refuses(server, limit_ms) and not self.detector.check(suspect=server)

    def cold_ms(self, server: BackendServer, health_path: str, limit_ms: float) -> float | None:
        """Return how much longer a server is cold by its health check; see Upstream."""
        return self.inner.cold_ms(server, health_path, limit_ms)

    def started_at(self, server: BackendServer, limit_ms: float) -> int | None:
        """Return when the server at a server's address started; see Upstream."""
        return self.inner.started_at(server, limit_ms)

    def free(
        self, server: BackendServer, handles: Sequence[str], on_notices: NoticeHandler
    ) -> None:
        """Release results at a server that are no longer needed; see Upstream."""
        self.inner.free(server, handles, on_notices)

    def reaches(self, server: BackendServer) -> bool:
        """Return whether a connection to a server can be opened; see Upstream."""
        return self.inner.reaches(server)

    def free_copy(self, server: BackendServer, request: str, on_notices: NoticeHandler) -> None:
        """Free the copy of a request's cache at a server; see Upstream."""
        self.inner.free_copy(server, request, on_notices)

    def record_unanswered(self, since: float) -> None:
        """Record that a server has not answered a call since a time; see Upstream."""
        self.detector.record_unanswered(since)

    def close(self) -> None:
        """Close every connection; see Upstream."""
        self.inner.close()
