# listener.py -- Opens listening sockets
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Opens listening sockets."""

from __future__ import annotations

from gevent import socket

BACKLOG = 1_024


def split_address(address: str) -> tuple[str, int]:
    """Split an address into its IP number and port."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def listening_socket(address: str) -> socket.socket:
    """Return a socket that listens on an IP number and port.

    TCP_NODELAY is set so that accepted connections send small segments at once: tokens of a stream
    must not wait for the caller's delayed acknowledgements.
    """
    host, port = split_address(address)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listening = socket.socket(family, socket.SOCK_STREAM)
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listening.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    listening.bind((host, port))
    listening.listen(BACKLOG)
    return listening
