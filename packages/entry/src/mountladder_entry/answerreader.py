# answerreader.py -- Reads the bytes of an answer, and tells a reset from the end of its body
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Reads the bytes of an answer, and tells a reset from the end of its body."""

from __future__ import annotations

import errno

from gevent import socket as sockets

from mountladder_entry.boundedreader import BoundedReader
from mountladder_entry.connectionreset import is_reset
from mountladder_entry.readlimits import ReadLimits

# How long a reset is awaited behind the end of an answer without a length. A server that closes the
# connection in order sends none; one that breaks off may end its stream first.
RESET_WAIT_MS = 50.0


class AnswerReader(BoundedReader):
    """The bytes of an answer that come over a connection.

    A reset behind the end of the stream, or one that a failed write has reported before, causes no
    error of a read.

    Args:
        socket: The socket.
        limits: The limits.

    Attributes:
        ends_with_connection: Whether the end of the connection is that of the answer's body.
    """

    def __init__(self, socket: sockets.socket, limits: ReadLimits) -> None:
        super().__init__(socket, limits)
        self.ends_with_connection = False

    def readinto(self, buffer: memoryview) -> int:
        """Read the bytes that are there, or wait for some; see BoundedReader.

        Raises:
            ConnectionResetError: The connection was reset, so that the body is incomplete.
        """
        size = super().readinto(buffer)
        if not size and self.ends_with_connection:
            self.check_not_reset()
            self.ends_with_connection = False
        return size

    def check_not_reset(self) -> None:
        """Wait for a reset behind the end of the stream.

        Raises:
            ConnectionResetError: It came.
        """
        if not is_reset(self._sock):
            self.limits.clock.sleep(min(self.limits.remaining_ms(), RESET_WAIT_MS))
        if is_reset(self._sock):
            raise ConnectionResetError(errno.ECONNRESET, "reset behind the end of the stream")
