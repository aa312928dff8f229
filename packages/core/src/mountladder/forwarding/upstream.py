# upstream.py -- Calls to backend servers
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Calls to backend servers."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence

from mountladder.configuration.backendserver import BackendServer
from mountladder.forwarding.forwardcall import ForwardCall
from mountladder.forwarding.piece import Piece
from mountladder.forwarding.pieceresult import PieceResult
from mountladder.forwarding.upstreamanswer import UpstreamAnswer
from mountladder.notices.notice import NoticeHandler


class Upstream(ABC):
    """Calls to backend servers.

    Attributes:
        part_of_connections: Returns how many connections to a server this instance may keep open
            while no call uses them, or None for as many as it likes.
    """

    part_of_connections: Callable[[BackendServer], int | None] = staticmethod(lambda server: None)

    @abstractmethod
    def open(self, server: BackendServer, call: ForwardCall, limit_ms: float) -> UpstreamAnswer:
        """Send a request and return the answer once its head is there.

        Args:
            server: The server, which must still be the one that the directory named.
            call: What is sent.
            limit_ms: How long the head of the answer may take.

        Raises:
            StageError: There is no answer that belongs to the request, or the server refused; its
                field `dispatched` tells whether the request may have run.
        """

    @abstractmethod
    def run_pieces(
        self, server: BackendServer, pieces: Sequence[Piece], limit_ms: float, heard: NoticeHandler
    ) -> tuple[PieceResult, ...]:
        """Have a server work on pieces and return the results in the same order.

        Args:
            server: The server.
            pieces: The pieces.
            limit_ms: How long the answer may take.
            heard: Told what the answer says of the server; see ForwardCall.

        Raises:
            StageError: The server refused, or the answer broke or did not come within the limit.
        """

    @abstractmethod
    def refuses(self, server: BackendServer) -> bool:
        """Tell whether nobody listens at a server's address, so that it has ended.

        A server that cannot be reached, or does not answer, may live.
        """

    @abstractmethod
    def free(self, server: BackendServer, handles: Sequence[str], heard: NoticeHandler) -> None:
        """Tell a server that results are no longer needed; nothing is raised where it fails.

        Args:
            server: The server that made them.
            handles: The results.
            heard: Told what the answer says of the server; see ForwardCall.
        """

    @abstractmethod
    def close(self) -> None:
        """Close every connection."""
