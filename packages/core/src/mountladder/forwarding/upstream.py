# upstream.py -- Interface for calls to backend servers
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Interface for calls to backend servers."""

from __future__ import annotations

import math
from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence

from mountladder.configuration.backendserver import BackendServer
from mountladder.forwarding.forwardcall import ForwardCall
from mountladder.forwarding.piece import Piece
from mountladder.forwarding.pieceresult import PieceResult
from mountladder.forwarding.upstreamanswer import UpstreamAnswer
from mountladder.notices.notice import NoticeHandler


class Upstream(ABC):
    """Sends calls to backend servers.

    Attributes:
        connection_share: Returns how many idle connections to a server this instance may keep
            open, or None for no limit.
        record_unanswered: Records that a server has not answered a call since a time, in the
            clock's milliseconds. The call still runs.
    """

    connection_share: Callable[[BackendServer], int | None] = staticmethod(lambda server: None)
    record_unanswered: Callable[[float], None] = staticmethod(lambda since: None)

    @abstractmethod
    def open(self, server: BackendServer, call: ForwardCall, limit_ms: float) -> UpstreamAnswer:
        """Send a request and return the answer once its head has arrived.

        Args:
            server: The server; the call fails if another one has its address now.
            call: The request and the parameters of the call.
            limit_ms: The timeout for the head of the answer, in milliseconds.

        Raises:
            StageError: The server refused, or sent no valid answer in time; the field `dispatched`
                says whether the request may have been executed.
        """

    @abstractmethod
    def run_pieces(
        self,
        server: BackendServer,
        pieces: Sequence[Piece],
        limit_ms: float,
        on_notices: NoticeHandler,
    ) -> tuple[PieceResult, ...]:
        """Have a server run pieces and return the results in the same order.

        Args:
            server: The server.
            pieces: The pieces.
            limit_ms: The timeout for the answer, in milliseconds.
            on_notices: Called with the notices in the answer; see ForwardCall.

        Raises:
            StageError: The server refused, or the answer was incomplete or too late.
        """

    @abstractmethod
    def refuses(self, server: BackendServer, limit_ms: float = math.inf) -> bool:
        """Return whether connections to a server are refused, which shows that it has crashed.

        A server that is unreachable or does not answer may still be running.

        Args:
            server: The server.
            limit_ms: How long an answer is awaited at most, in milliseconds.
        """

    @abstractmethod
    def cold_ms(self, server: BackendServer, health_path: str, limit_ms: float) -> float | None:
        """Return how much longer a server is cold by its health check, in milliseconds.

        Args:
            server: The server.
            health_path: The path of its health checks.
            limit_ms: The timeout for the answer, in milliseconds.

        Returns:
            The time, 0 if it is not cold, or None if it did not say so.
        """

    @abstractmethod
    def started_at(self, server: BackendServer, limit_ms: float) -> int | None:
        """Return when the server at a server's address started, by its own report.

        Args:
            server: The server.
            limit_ms: The timeout for the answer, in milliseconds.

        Returns:
            The time in milliseconds since 1970, or None if it did not say so.
        """

    @abstractmethod
    def free(
        self, server: BackendServer, handles: Sequence[str], on_notices: NoticeHandler
    ) -> None:
        """Release results at a server that are no longer needed; failures are ignored.

        Args:
            server: The server that holds the results.
            handles: The handles of the results.
            on_notices: Called with the notices in the answer; see ForwardCall.
        """

    @abstractmethod
    def reaches(self, server: BackendServer) -> bool:
        """Return whether a connection to a server can be opened."""

    @abstractmethod
    def free_copy(self, server: BackendServer, request: str, on_notices: NoticeHandler) -> None:
        """Free the copy of a request's cache at a server; failures are ignored.

        Args:
            server: The server that keeps the copy.
            request: The id of the request.
            on_notices: Called with the notices in the answer; see ForwardCall.
        """

    @abstractmethod
    def close(self) -> None:
        """Close every connection."""
