# boundedreader.py -- Reads from a connection within the limits of a step
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Reads from a connection within the limits of a step."""

from __future__ import annotations

from gevent import socket as sockets

from mountladder_entry.readlimits import ReadLimits

MS_PER_SECOND = 1000.0
READ_BYTES = 65_536


class BoundedReader(sockets.SocketIO):
    """The bytes that come over a connection, within the limits of the step that reads them.

    Args:
        socket: The socket.
        limits: The limits.
    """

    def __init__(self, socket: sockets.socket, limits: ReadLimits) -> None:
        super().__init__(socket, "rb")
        # The socket is closed with its last reader; see makefile of sockets.
        socket._io_refs += 1
        self.limits = limits

    def readall(self) -> bytes:
        """Read up to the end of the connection; see io.RawIOBase, which reads small parts."""
        return b"".join(iter(lambda: self.read(READ_BYTES), b""))

    def readinto(self, buffer: memoryview) -> int:
        """Read the bytes that are there, or wait for some; see io.RawIOBase.

        Raises:
            TimeoutError: None came in time.
            TooMuchReadError: The step has read as much as it may.
        """
        self.limits.begin_read()
        write_timeout = self._sock.gettimeout()
        self._sock.settimeout(self.limits.remaining_ms() / MS_PER_SECOND)
        try:
            size = self._sock.recv_into(buffer)
        finally:
            self._sock.settimeout(write_timeout)
        self.limits.end_read(size, size == len(buffer))
        return size
