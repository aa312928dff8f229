# tcpnetwork.py -- Opens and accepts links between instances over TCP
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Opens and accepts links between instances over TCP."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import ExitStack

from gevent import socket
from gevent.server import StreamServer

from mountladder.errors import PeerError
from mountladder.membership.instance import Instance
from mountladder.membership.link import Link
from mountladder.membership.listener import listening_socket, split_address
from mountladder.membership.network import Network
from mountladder.membership.tcplink import TcpLink
from mountladder.memory.memoryaccount import MemoryAccount

CONNECT_SECONDS = 1.0
MAX_LINKS = 1_024
STOP_SECONDS = 0.2


class TcpNetwork(Network):
    """Opens and accepts links over TCP.

    Args:
        secret: The fleet's key.
        listen_address: The IP number and port to listen on, or an empty string for the address that
            peers connect to.
        account: Counts the bytes of messages that wait to be sent, or None.
    """

    def __init__(
        self, secret: bytes, listen_address: str = "", account: MemoryAccount | None = None
    ) -> None:
        self.secret = secret
        self.account = account
        self.listen_address = listen_address

    def connect(self, address: str, me: Instance) -> Link:
        """Open a link; see Network."""
        host, port = split_address(address)
        try:
            connection = socket.create_connection((host, port), CONNECT_SECONDS)
        except OSError as error:
            raise PeerError(f"{address}: {error}") from error
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return TcpLink(connection, self.secret, me, self.account)

    def listen(self, me: Instance, serve: Callable[[Link], None], stack: ExitStack) -> None:
        """Serve links; see Network."""

        def accept(connection: socket.socket, _: tuple[str, int]) -> None:
            """Serve one link."""
            serve(TcpLink(connection, self.secret, me, self.account))

        server = StreamServer(
            listening_socket(self.listen_address or me.peer), accept, spawn=MAX_LINKS
        )
        server.start()
        stack.callback(server.stop, STOP_SECONDS)
