# partitionedupstream.py -- One instance's connections to in-memory servers, which can be cut
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""One instance's connections to in-memory servers, which can be cut."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence

from mountladder.clocks.clock import Clock
from mountladder.code import Code
from mountladder.configuration.backendserver import BackendServer
from mountladder.errors import StageError
from mountladder.forwarding.forwardcall import ForwardCall
from mountladder.forwarding.piece import Piece
from mountladder.forwarding.pieceresult import PieceResult
from mountladder.forwarding.upstream import Upstream
from mountladder.forwarding.upstreamanswer import UpstreamAnswer
from mountladder.notices.notice import NoticeHandler
from mountladder_standins.serverpartition import ServerPartition

CONNECT_TIMEOUT_MS = 300.0


class PartitionedUpstream(Upstream):
    """Passes one instance's calls on to in-memory servers, unless it is partitioned from them.

    Args:
        inner: The servers.
        partition: Returns how the instance is partitioned at present, or None if it is not.
        clock: The clock.
    """

    def __init__(
        self, inner: Upstream, partition: Callable[[], ServerPartition | None], clock: Clock
    ) -> None:
        self.inner = inner
        self.partition = partition
        self.clock = clock

    def check_connection(self) -> None:
        """Fail to connect while the instance is partitioned.

        Raises:
            StageError: It is.
        """
        if self.partition() is ServerPartition.HANG:
            self.clock.sleep(CONNECT_TIMEOUT_MS)
        if self.partition() is not None:
            raise StageError("cannot connect", Code.CONNECT_FAILED, False)

    def check_answer(self, began: float, limit_ms: float) -> None:
        """Fail a call that is in flight while the instance is partitioned.

        Raises:
            StageError: The connection broke, or no answer came in time.
        """
        if self.partition() is ServerPartition.HANG:
            self.clock.sleep(max(0.0, began + limit_ms - self.clock.now()))
            raise StageError("no answer in time", Code.STAGE_STALLED)
        if self.partition() is ServerPartition.RESET:
            raise StageError("the connection was reset", Code.STREAM_CUT)

    def open(self, server: BackendServer, call: ForwardCall, limit_ms: float) -> UpstreamAnswer:
        """Run a request; see Upstream."""
        self.check_connection()
        began = self.clock.now()
        answer = self.inner.open(server, call, limit_ms)
        self.check_answer(began, limit_ms)
        plain_read_some = answer.read_some

        def read_some(limit_ms: float) -> bytes:
            """Return the next part, unless the connection is cut."""
            began = self.clock.now()
            data = plain_read_some(limit_ms)
            self.check_answer(began, limit_ms)
            return data

        answer.read_some = read_some
        return answer

    def run_pieces(
        self,
        server: BackendServer,
        pieces: Sequence[Piece],
        limit_ms: float,
        on_notices: NoticeHandler,
    ) -> tuple[PieceResult, ...]:
        """Run pieces; see Upstream."""
        self.check_connection()
        began = self.clock.now()
        results = self.inner.run_pieces(server, pieces, limit_ms, on_notices)
        self.check_answer(began, limit_ms)
        return results

    def refuses(self, server: BackendServer, limit_ms: float = math.inf) -> bool:
        """Return whether a server's address refuses connections; see Upstream."""
        if self.partition() is ServerPartition.HANG:
            self.clock.sleep(min(limit_ms, CONNECT_TIMEOUT_MS))
            return False
        return self.partition() is not None or self.inner.refuses(server, limit_ms)

    def reaches(self, server: BackendServer) -> bool:
        """Return whether a connection to a server can be opened; see Upstream."""
        try:
            self.check_connection()
        except StageError:
            return False
        return self.inner.reaches(server)

    def cold_ms(self, server: BackendServer, health_path: str, limit_ms: float) -> float | None:
        """Return how much longer a server is cold by its health check; see Upstream."""
        return None if self.partition() else self.inner.cold_ms(server, health_path, limit_ms)

    def started_at(self, server: BackendServer, limit_ms: float) -> int | None:
        """Return when the server at a server's address started; see Upstream."""
        return None if self.partition() else self.inner.started_at(server, limit_ms)

    def free(
        self, server: BackendServer, handles: Sequence[str], on_notices: NoticeHandler
    ) -> None:
        """Release results unless the instance is partitioned; see Upstream."""
        if self.partition() is None:
            self.inner.free(server, handles, on_notices)

    def free_copy(self, server: BackendServer, request: str, on_notices: NoticeHandler) -> None:
        """Free a copy unless the instance is partitioned; see Upstream."""
        if self.partition() is None:
            self.inner.free_copy(server, request, on_notices)

    def close(self) -> None:
        """Do nothing, as there are no connections."""
